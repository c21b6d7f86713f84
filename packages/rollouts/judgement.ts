/** What the outcomes so far say of a version. */
export interface Judgement {
    /** `"bad"` is final; `"doubtful"`: not enough evidence either way. */
    verdict: "good" | "doubtful" | "bad";
    /** Evidence against the version, as a fraction of what makes it bad. */
    evidence: number;
    /** Route with the strongest evidence; undefined if it is that of all routes together. */
    route: string | undefined;
    /** Outcomes of the new version that were judged, and those of them that failed or were slow. */
    outcomes: number;
    badOutcomes: number;
    /** Outcomes of the old version. */
    oldOutcomes: number;
}
