/** Bounds on the times between a charge, its dispatch and its settlement. */
export const limitTimes = {
    /** Time after which a charge is no longer valid for a dispatch, counted from before it was requested. */
    chargeValidityMilliseconds: 250,
    /** Time that a dispatched request may take to reach the engine. */
    transitMilliseconds: 250,
    /** Longest time that a request waits for its organisation's limit to refill. */
    maximumWaitMilliseconds: 2_000,
    /** Time after which the unused part of a charge is no longer refunded. */
    settlementMilliseconds: 600_000,
};
