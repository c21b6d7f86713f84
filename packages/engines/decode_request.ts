/** A request to generate a completion from a KV cache. */
export interface DecodeRequest {
    /** Id of the request. */
    request: string;
    /** Name of the model. */
    model: string;
    /** Address of the engine that holds the KV cache. */
    source: string;
    /** Identifies the KV cache at that engine. */
    handle: string;
    /** Number of output tokens that the caller already has. */
    offset: number;
    /** Maximum number of output tokens, including those before `offset`. */
    maximumTokens: number;
    /** Priority; requests with the highest number run first. */
    priority: number;
}
