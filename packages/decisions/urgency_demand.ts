/** Demand for engine memory by the requests of a service that have one urgency. */
export interface UrgencyDemand {
    /** Urgency of the requests with regard to their organisations' shares; the lowest number is served first. */
    urgency: number;
    /** Number of requests that wait and can still meet their target latency. */
    waiting: number;
    /** Tokens that they wait for. */
    waitingTokens: number;
    /** Tokens per second that engines have granted recently. */
    grantedRate: number;
    /** Tokens per second that were refused recently. */
    refusedRate: number;
}
