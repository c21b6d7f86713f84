import type { Workload } from "../workloads/mod.ts";

/** The organisation that floods is a small one. */
export function floodingOrganisation(workload: Workload): string {
    return Object.keys(workload.organisations)[2] ?? "";
}
