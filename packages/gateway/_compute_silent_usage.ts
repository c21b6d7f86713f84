/** Last known usage by instances that no longer report. */
interface SilentUsage {
    instances: number;
    spent: number;
}

/**
 * Computes the usage by instances without a recent report: the last known one, and an equal share at least for each
 * instance that is missing. Those beyond the missing ones have ended; their usage still counts.
 */
export function computeSilentUsage(silent: SilentUsage[], missing: number, share: number): number {
    let unassigned = missing;
    let spent = 0;
    for (const { instances, spent: known } of [...silent].sort((left, right) => right.spent - left.spent)) {
        const assigned = Math.min(instances, unassigned);
        unassigned -= assigned;
        spent += Math.max(known, assigned * share);
    }
    return spent + unassigned * share;
}
