/** Result of a soak, the last line of its output. */
export interface SoakReport {
    /** Seed of the run. */
    seed: number;
    /** Whether every invariant held and every kind of fault and check took place. */
    passed: boolean;
    /** How often each kind of fault took place. */
    faults: Record<string, number>;
    /** Checks and violations of each invariant. */
    invariants: Record<string, { checks: number; violations: number; }>;
    /** The first violations of each kind, in words. */
    details: string[];
    /** Calls by kind and outcome. */
    calls: Record<string, number>;
}
