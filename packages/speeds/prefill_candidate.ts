/** A prefill engine that may compute a prompt. */
export interface PrefillCandidate {
    /** Prompt tokens of unfinished prefills at the engine. */
    queuedTokens: number;
    /** Fraction of the recent requests that failed at the engine. */
    failureRate: number;
    /** Whether the engine that fetches the result is in another failure domain. */
    isRemote: boolean;
    /** Speed of the engine as a factor of the median. */
    speedFactor: number;
    /** Tokens at the beginning of the prompt that the engine is expected not to compute again. */
    savedTokens: number;
}
