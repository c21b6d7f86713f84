/** Workloads of the deployments that experiments simulate. */
export { findWorkload } from "./find_workload.ts";
export { generatePrompt } from "./generate_prompt.ts";
export type { Workload } from "./workload.ts";
