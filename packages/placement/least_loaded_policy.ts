import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";

/**
 * Baseline: takes the server with the most free capacity by the engines' late reports and reserves nothing.
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
            .map(candidate => ({ candidate, free: candidate.hint?.free ?? 0, tie: Math.random() }))
            .sort((left, right) => right.free - left.free || left.tie - right.tie)
            .map(({ candidate }) => candidate);
    }

    /** @inheritdoc */
    recordPrefill(): void {}
}
