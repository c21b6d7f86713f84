import type { Workload } from "../workloads/mod.ts";

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
    /** Deployment to simulate. */
    workload: Workload;
    /** Seed of all random choices. */
    seed: number;
    /** Length of the phase with traffic and faults, in seconds. */
    seconds: number;
    /** Number of instances. Default: 6. */
    instances?: number;
    /** Kinds of faults to leave out. Default: none. */
    without?: string[];
    /** Directory that the instances' logs are copied to if the run fails. Default: none. */
    keepLogsIn?: string;
    /** Receives progress messages, one line each. Default: writes them to standard error. */
    onProgress?: (line: string) => void;
}
