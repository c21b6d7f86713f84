/** Options of an engine stand-in. Times are in milliseconds. */
export interface EngineStandInOptions {
    /** Pieces (blocks of KV cache memory) for decodes. Default: 20. */
    pieces?: number;
    /** Tokens in a piece. Default: 4,000. */
    tokensPerPiece?: number;
    /** Bytes of text that count as one token. Default: 4. */
    bytesPerToken?: number;
    /** Prompt tokens computed per second. Default: 20,000. */
    prefillTokensPerSecond?: number;
    /** Duration of one decoding step, however many requests it serves. Default: 20. */
    stepMilliseconds?: number;
    /** Time added to a step for each request. Default: 0.5. */
    stepMillisecondsPerRequest?: number;
    /** Time for which a prefill result is kept. Default: 800. */
    handleLifetimeMilliseconds?: number;
    /** Tokens whose KV cache is transferred per second. Default: 200,000. */
    linkTokensPerSecond?: number;
    /** Size of the prefix cache in tokens. Default: 200,000. */
    prefixCacheTokens?: number;
    /** Time from a cold start until the engine can handle its full load. Default: 5,000. */
    coldMilliseconds?: number;
    /** Time until a crashed engine accepts requests again. Default: 500. */
    restartMilliseconds?: number;
    /** Whether the engine starts cold. Default: false. */
    startsCold?: boolean;
    /** Delay before each request is handled. Default: 0. */
    networkMilliseconds?: number;
}
