import type { MembershipRecord } from "./membership_record.ts";

/**
 * Drops the epochs of a record's history that no member can still be acting on.
 *
 * @param history The history.
 * @param adoptedEpochs Epoch that each member is known to have adopted at least; undefined if unknown.
 * @returns The epochs from the lowest adopted one on; all of them if any member's epoch is unknown.
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
