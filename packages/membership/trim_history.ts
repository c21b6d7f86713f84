import type { MembershipRecord } from "./membership_record.ts";

/**
 * Removes the epochs from the history of a membership record that no member can still act on.
 *
 * @param history The history.
 * @param adoptedEpochs Latest epoch that each member is known to have adopted; undefined if unknown.
 * @returns The entries from the lowest adopted epoch on; all of them if any member's epoch is unknown.
 * @example
 * ```ts
 * trimHistory([{ epoch: 1, members: [] }, { epoch: 2, members: [] }], [2, 3]); // [{ epoch: 2, members: [] }]
 * ```
 */
export function trimHistory(
    history: MembershipRecord["history"],
    adoptedEpochs: (number | undefined)[],
): MembershipRecord["history"] {
    let lowest = Number.POSITIVE_INFINITY;
    for (const epoch of adoptedEpochs) {
        lowest = Math.min(lowest, epoch ?? 0);
    }
    return history.filter(entry => entry.epoch >= lowest);
}
