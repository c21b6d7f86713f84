/** Name of an invariant; also the `invariant` label of its counters. */
export type InvariantName =
    | "share-level-within-burst"
    | "reservations-within-capacity"
    | "configuration-version-never-decreases"
    | "epoch-never-decreases"
    | "event-belongs-to-request"
    | "once-only-dispatch-follows-intent"
    | "key-belongs-to-organisation";
