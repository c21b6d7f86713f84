/** How one pass ended. */
export type PassOutcome =
    | { kind: "completed"; }
    | { kind: "relayed"; }
    | { kind: "key-withdrawn"; message: string; }
    | { kind: "not-run" | "moved" | "handle-lost" | "may-have-run" | "broken"; message: string; };
