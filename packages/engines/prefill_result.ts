/** Result of a prefill: a KV cache that the engine holds for a limited time. */
export interface PrefillResult {
    /** Identifies the KV cache at its engine. */
    handle: string;
    /** Milliseconds after which the engine frees it. */
    expiresInMilliseconds: number;
    /** Number of tokens of the prompt that were found in the engine's prefix cache. */
    cachedTokens: number;
    /** Number of tokens of the prompt. */
    promptTokens: number;
}
