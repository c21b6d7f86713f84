/** A decode engine with room for a request. */
export interface DecodeCandidate {
    /** Memory in tokens that is expected to be free. */
    freeTokens: number;
    /** Fraction of the recent requests that failed at the engine. */
    failureRate: number;
    /** Speed of the engine as a factor of the median. */
    speedFactor: number;
    /** Tokens at the beginning of the prompt that the engine is expected to keep. */
    savedTokens: number;
}
