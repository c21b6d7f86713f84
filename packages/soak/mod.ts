/** Soak tests: long randomised runs with injected faults, checked by oracles at the end. */
export { runSoak } from "./run_soak.ts";
export type { SoakOptions } from "./soak_options.ts";
export type { SoakReport } from "./soak_report.ts";
