/** A model request that passed all checks. */
export interface ModelJob {
    /** Id of the request: the instance's id and a number. */
    id: string;
    /** Organisation that the request runs for. */
    organisation: string;
    /** Name of the model. */
    model: string;
    /** The prompt. */
    prompt: string;
    /** Tells the request again when its caller repeats it. */
    fingerprint: string;
    /** Tokens of the prompt. */
    promptTokens: number;
    /** Longest answer in tokens. */
    maximumTokens: number;
}
