/** A request to compute the KV cache of a prompt. */
export interface PrefillRequest {
    /** Id of the request, unique in the fleet. */
    request: string;
    /** Name of the model. */
    model: string;
    /** The prompt. */
    prompt: string;
    /** Output generated so far, if a completion is continued; otherwise empty. */
    generated: string;
    /** Priority; requests with the highest number run first. */
    priority: number;
}
