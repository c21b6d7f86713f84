import type { StorePosition } from "../replica/mod.ts";

/** Outcome of a write. */
export type WriteOutcome =
    | { kind: "stored"; position: StorePosition; }
    | { kind: "conflict"; }
    | { kind: "lease-ended"; };
