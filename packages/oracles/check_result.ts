/** Result of one check. */
export interface CheckResult {
    /** How often the condition was examined. */
    checks: number;
    /** What broke it. */
    violations: string[];
}
