/** A model request that passed validation. */
export interface ModelJob {
    /** Id of the request: the id of the instance, a slash and a number. */
    id: string;
    /** Organisation that the request runs for. */
    organisation: string;
    /** Name of the model. */
    model: string;
    /** The prompt. */
    prompt: string;
    /** Fingerprint of the request; the same if the caller sends the request again. */
    fingerprint: string;
    /** Estimated number of tokens of the prompt. */
    promptTokens: number;
    /** Maximum number of output tokens. */
    maximumTokens: number;
}
