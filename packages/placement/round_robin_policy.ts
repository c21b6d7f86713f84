import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";

/**
 * Baseline: takes the servers in turn and reserves nothing.
 *
 * @example
 * ```ts
 * const policy = new RoundRobinPolicy();
 * ```
 */
export class RoundRobinPolicy implements PlacementPolicy {
    readonly reserves = false;
    readonly needsLoadReports = false;
    #next = Math.floor(Math.random() * 1_000);

    /** @inheritdoc */
    order(candidates: Candidate[]): Candidate[] {
        const start = this.#next++ % Math.max(1, candidates.length);
        return [...candidates.slice(start), ...candidates.slice(0, start)];
    }

    /** @inheritdoc */
    notePrefill(): void {}
}
