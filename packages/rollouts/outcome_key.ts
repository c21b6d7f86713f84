/** How requests ended that one key of the shared counts stands for. */
export interface OutcomeKey {
    /** Id of the roll-out's order. */
    order: string;
    /** Number of the period in which they ended, so that a key's count only grows. */
    period: number;
    route: string;
    version: "old" | "new";
    /** Number of the response time's bucket; undefined for failures. */
    bucket: number | undefined;
}
