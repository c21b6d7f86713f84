/** Coordination of instances through the store: leader election, leases and conditional writes. */
export type { ConditionalWrite } from "./conditional_write.ts";
export type { CoordinationStore } from "./coordination_store.ts";
export { EraWitness } from "./era_witness.ts";
export type { EraWitnessOptions } from "./era_witness_options.ts";
export { Leadership } from "./leadership.ts";
export type { LeadershipOptions } from "./leadership_options.ts";
export type { StoreLease } from "./store_lease.ts";
export type { WriteOutcome } from "./write_outcome.ts";
