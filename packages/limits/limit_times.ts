/** Times that bound the distance between a charge and the tokens it pays for. */
export const limitTimes = {
    /** Milliseconds after which a charge no longer covers a dispatch, counted from before it was asked for. */
    chargeValidityMilliseconds: 250,
    /** Milliseconds that a dispatched request may take to reach the engine. */
    transitMilliseconds: 250,
    /** Longest time in milliseconds for which a request waits for its organisation's rate. */
    patienceMilliseconds: 2_000,
    /** Milliseconds after which an unused part is no longer returned. */
    settlementMilliseconds: 600_000,
};
