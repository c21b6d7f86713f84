import type { StorePosition } from "../replica/mod.ts";
import type { StoredValue } from "./stored_value.ts";

/** Outcome of a compare-and-swap to which the store responded. */
export type CompareAndSwapOutcome =
    | { kind: "stored"; position: StorePosition; }
    | { kind: "conflict"; current: StoredValue; };
