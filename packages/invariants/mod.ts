/** Invariants that are checked at run time. */
export type { InvariantName } from "./invariant_name.ts";
export { Invariants } from "./invariants.ts";
