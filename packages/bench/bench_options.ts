import type { Workload } from "../workloads/mod.ts";
import type { Scenario } from "./scenario.ts";

/** Options of {@linkcode runBench}. */
export interface BenchOptions {
    /** Deployment to imitate. */
    workload: Workload;
    /** Placement policy of the instances. */
    policy: "today" | "round-robin" | "least-loaded";
    /** What happens. */
    scenario: Scenario;
    /** Seed of the load. */
    seed: number;
    /** Seconds that are measured. Default: 30. */
    seconds?: number;
    /** Number of instances. Default: 6. */
    instances?: number;
    /** Receives the share of the run that is over. */
    onProgress?: (share: number) => void;
}
