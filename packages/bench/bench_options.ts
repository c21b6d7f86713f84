import type { Workload } from "../workloads/mod.ts";
import type { Scenario } from "./scenario.ts";

/** Options of {@linkcode runBench}. */
export interface BenchOptions {
    /** Deployment to simulate. */
    workload: Workload;
    /** Placement policy of the instances. */
    policy: "today" | "round-robin" | "least-loaded";
    /** Load and faults of the experiment. */
    scenario: Scenario;
    /** Seed of the load. */
    seed: number;
    /** Length of the measured phase in seconds. Default: 30. */
    seconds?: number;
    /** Number of instances. Default: 6. */
    instances?: number;
    /** Receives the completed fraction of the run, from 0 to 1. */
    onProgress?: (fraction: number) => void;
}
