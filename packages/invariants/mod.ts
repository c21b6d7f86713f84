/** Invariants asserted while the program runs. */
export type { InvariantName } from "./invariant_name.ts";
export { Invariants } from "./invariants.ts";
