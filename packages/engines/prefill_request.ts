/** A request for the KV cache of a prompt. */
export interface PrefillRequest {
    /** Id of the request, unique in the fleet. */
    request: string;
    /** Name of the model. */
    model: string;
    /** The prompt. */
    prompt: string;
    /** Answer generated so far, if the answer is continued. */
    generated: string;
    /** Priority; the highest number goes first. */
    priority: number;
}
