import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";

/**
 * Baseline for comparison: takes the servers of a role in turn and reserves nothing.
 *
 * @example
 * ```ts
 * const policy = new RoundRobinPolicy();
 * ```
 */
export class RoundRobinPolicy implements PlacementPolicy {
    readonly reservesCapacity = false;
    readonly needsLoadReports = false;
    readonly #nextIndexes = new Map<string, number>();

    /** @inheritdoc */
    order(candidates: Candidate[]): Candidate[] {
        const role = candidates[0]?.server.role ?? "decode";
        const nextIndex = this.#nextIndexes.get(role) ?? Math.floor(Math.random() * candidates.length);
        this.#nextIndexes.set(role, nextIndex + 1);
        const start = nextIndex % Math.max(1, candidates.length);
        return [...candidates.slice(start), ...candidates.slice(0, start)];
    }

    /** @inheritdoc */
    recordPrefill(): void {}
}
