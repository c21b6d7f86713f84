/** The deployments that experiments imitate. */
export { findWorkload } from "./find_workload.ts";
export { generatePrompt } from "./generate_prompt.ts";
export type { Workload } from "./workload.ts";
