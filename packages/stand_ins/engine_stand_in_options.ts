/** Options of an engine stand-in. Times are in milliseconds. */
export interface EngineStandInOptions {
    /** Pieces of decode memory. Default: 20. */
    pieces?: number;
    /** Tokens in a piece. Default: 4,000. */
    tokensPerPiece?: number;
    /** Bytes of text counted as a token. Default: 4. */
    bytesPerToken?: number;
    /** Prompt tokens computed in a second. Default: 20,000. */
    prefillTokensPerSecond?: number;
    /** Time of one decoding step for all requests together. Default: 20. */
    stepMilliseconds?: number;
    /** Time added to a step for each request. Default: 0.5. */
    stepMillisecondsPerRequest?: number;
    /** Time for which a prefill's result is kept. Default: 800. */
    handleLifetimeMilliseconds?: number;
    /** Tokens of KV cache that the link takes in a second. Default: 200,000. */
    linkTokensPerSecond?: number;
    /** Tokens of prompt prefixes that are cached. Default: 200,000. */
    prefixCacheTokens?: number;
    /** Time from a start until the engine bears its full load. Default: 5,000. */
    coldMilliseconds?: number;
    /** Time that a crashed engine needs before it answers again. Default: 500. */
    restartMilliseconds?: number;
    /** Whether the engine starts cold. Default: false. */
    startsCold?: boolean;
    /** Delay of each answer and event, one way. Default: 0. */
    networkMilliseconds?: number;
}
