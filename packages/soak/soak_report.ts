/** Result of a soak test, printed as the last line of the command's output. */
export interface SoakReport {
    /** Seed of the run. */
    seed: number;
    /** Whether every invariant held and every kind of fault and check took place. */
    passed: boolean;
    /** Number of injected faults, by kind. */
    faults: Record<string, number>;
    /** Checks and violations of each invariant. */
    invariants: Record<string, { checks: number; violations: number; }>;
    /** Descriptions of the first violations, and of checks and faults that did not take place. */
    details: string[];
    /** Number of calls, by kind and outcome. */
    calls: Record<string, number>;
}
