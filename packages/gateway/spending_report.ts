/** Usage of limits, as an instance reports it to its peers. */
export interface SpendingReport {
    /** Units that this process charged in the window, by key. */
    spending: Record<string, number>;
    /** Units requested from this process in the last second, by key, including refused requests. */
    asked: Record<string, number>;
    /**
     * Fraction of an equal share that an earlier process of the instance is assumed to have used, until its usage is
     * known.
     */
    assumedShare: number;
    /** Last reports of processes that ended within the window: age in milliseconds, units by key. */
    ended: Record<string, [number, Record<string, number>]>;
}
