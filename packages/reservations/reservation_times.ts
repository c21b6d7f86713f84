/** Times of reservations in milliseconds. */
export const reservationTimes = {
    /** Time within which a reservation must be used, counted from before it was asked for. */
    validityMilliseconds: 10_000,
    /** Pause between two comparisons of a ledger with its engine. */
    sweepMilliseconds: 1_000,
    /** Time after which a reservation is confirmed again with the instance that holds it. */
    confirmMilliseconds: 3_000,
    /** Shortest time between two steps of a cold server's ramp. */
    rampStepMilliseconds: 300,
};
