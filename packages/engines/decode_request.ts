/** A request for an answer from a KV cache. */
export interface DecodeRequest {
    /** Id of the request. */
    request: string;
    /** Name of the model. */
    model: string;
    /** Address of the engine that holds the KV cache. */
    source: string;
    /** Names the KV cache there. */
    handle: string;
    /** Tokens of the answer that the caller already has. */
    offset: number;
    /** Longest answer in tokens, those before `offset` included. */
    maximumTokens: number;
    /** Priority; the highest number goes first. */
    priority: number;
}
