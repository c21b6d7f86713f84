/** Where the KV cache of a prompt is kept for a short time. */
export interface PrefillResult {
    /** Names the KV cache at its engine. */
    handle: string;
    /** Milliseconds for which the engine keeps it. */
    expiresInMilliseconds: number;
    /** Tokens of the prompt that were found in the engine's prefix cache. */
    cachedTokens: number;
    /** Tokens of the prompt. */
    promptTokens: number;
}
