import type { Workload } from "../workloads/mod.ts";

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
    /** Deployment to imitate. */
    workload: Workload;
    /** Seed of all random choices. */
    seed: number;
    /** Seconds for which traffic and faults last. */
    seconds: number;
    /** Number of instances. Default: 6. */
    instances?: number;
    /** Kinds of faults to leave out. Default: none. */
    without?: string[];
    /** Directory that keeps the instances' logs if the run fails. Default: none. */
    keepLogsIn?: string;
    /** Receives progress, one line each. Default: standard error. */
    onProgress?: (line: string) => void;
}
