/** What an instance tells its peers about what organisations have spent. */
export interface SpendingReport {
    /** Units that this process has spent in the window, by organisation. */
    spending: Record<string, number>;
    /** Units that organisations have asked of this process in the last second, those beyond a limit included. */
    asked: Record<string, number>;
    /** Part of an equal share that a former process at this place is taken to have spent, as long as nobody knows. */
    assumedShare: number;
    /** What processes that have ended within the window had last reported: age in milliseconds, units. */
    ended: Record<string, [number, Record<string, number>]>;
}
