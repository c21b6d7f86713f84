/** Durations and intervals that apply to reservations, in milliseconds. */
export const reservationTimes = {
    /** Time within which a reservation must be used, counted from just before it was requested. */
    validityMilliseconds: 10_000,
    /** Pause between two reconciliations of a ledger with its engine. */
    reconcileIntervalMilliseconds: 1_000,
    /** Time after which the instance that holds a reservation has to confirm it again. */
    confirmationIntervalMilliseconds: 3_000,
    /** Shortest time between two increases of the slow start limit. */
    slowStartStepMilliseconds: 300,
};
