import type { Workload } from "../workloads/mod.ts";

/** Returns the name of the organisation that floods in the scenario `flood`: a small one. */
export function floodingOrganisation(workload: Workload): string {
    return Object.keys(workload.organisations)[2] ?? "";
}
