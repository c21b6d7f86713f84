/** Usage of rate limits by organisation, as an instance reports it to its peers. */
export interface SpendingReport {
    /** Units that this process charged in the window, by organisation. */
    spending: Record<string, number>;
    /** Units requested from this process in the last second, by organisation, including refused requests. */
    asked: Record<string, number>;
    /**
     * Fraction of an equal share that an earlier process of the instance is assumed to have used, until its usage is
     * known.
     */
    assumedShare: number;
    /** Last reports of processes that ended within the window: age in milliseconds, units by organisation. */
    ended: Record<string, [number, Record<string, number>]>;
}
