import type { StoredValue } from "./stored_value.ts";

/** Outcome of a compare-and-swap that the store answered. */
export type CompareAndSwapOutcome =
    | { kind: "stored"; revision: number; }
    | { kind: "conflict"; current: StoredValue; };
