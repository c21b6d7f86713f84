/** Outcome of a write. */
export type WriteOutcome =
    | { kind: "stored"; revision: number; }
    | { kind: "conflict"; }
    | { kind: "lease-ended"; };
