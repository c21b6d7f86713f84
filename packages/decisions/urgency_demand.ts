/** Demand for engine memory by requests of one service and one urgency. */
export interface UrgencyDemand {
    /** Priority of the requests; 0 is served first. */
    priority: number;
    /** Requests that wait. */
    waiting: number;
    /** Tokens that they wait for. */
    waitingTokens: number;
    /** Tokens that requests have asked for, in tokens per second. */
    askedTokens: number;
    /** Tokens that engines have granted, in tokens per second. */
    grantedTokens: number;
}
