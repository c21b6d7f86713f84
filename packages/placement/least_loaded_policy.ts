import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";

/**
 * Baseline for comparison: orders servers by the free capacity in the engines' load reports, which are delayed, and
 * reserves nothing.
 *
 * @example
 * ```ts
 * const policy = new LeastLoadedPolicy();
 * ```
 */
export class LeastLoadedPolicy implements PlacementPolicy {
    readonly reservesCapacity = false;
    readonly needsLoadReports = true;

    /** @inheritdoc */
    order(candidates: Candidate[]): Candidate[] {
        return candidates
            .map(candidate => ({ candidate, free: candidate.hint?.free ?? 0, tieBreaker: Math.random() }))
            .sort((left, right) => right.free - left.free || left.tieBreaker - right.tieBreaker)
            .map(({ candidate }) => candidate);
    }

    /** @inheritdoc */
    recordPrefill(): void {}
}
