/** Demand for engine memory by the requests of a service that have one priority. */
export interface UrgencyDemand {
    /** Priority of the requests; 0 is served first. */
    priority: number;
    /** Number of requests that wait. */
    waiting: number;
    /** Tokens that they wait for. */
    waitingTokens: number;
    /** Tokens per second that engines have granted recently. */
    grantedRate: number;
    /** Tokens per second that were refused recently. */
    refusedRate: number;
}
