/** Options of a {@linkcode Refusal}. */
export interface RefusalOptions {
    /** Seconds after which a retry may succeed; absent when a retry cannot help. */
    retryAfterSeconds?: number;
}
