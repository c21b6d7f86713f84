/** The deployments that experiments imitate. */
export { findWorkload } from "./find_workload.ts";
export { promptOf } from "./prompt_of.ts";
export type { Workload } from "./workload.ts";
