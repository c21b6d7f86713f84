/** Result of one check. */
export interface CheckResult {
    /** Number of times that the condition was checked. */
    checks: number;
    /** Descriptions of the violations that were found. */
    violations: string[];
}
