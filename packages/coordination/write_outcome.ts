/** How a write ended. */
export type WriteOutcome =
    | { kind: "stored"; revision: number; }
    | { kind: "conflict"; }
    | { kind: "lease-ended"; };
