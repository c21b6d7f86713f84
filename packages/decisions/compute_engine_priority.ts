/** Ranks of urgency, each with an engine priority for requests on time and one for late ones. */
const RANKS = 5;

/**
 * Computes the priority of a request at its engine. Requests that can no longer meet their target come after all that
 * can, since they must not preempt those.
 *
 * @param rank Rank of its urgency, from 0 to 4.
 * @param isLate Whether the target can no longer be met and no part of the answer has been sent.
 * @returns The priority, from 0 to 9; 0 is served first.
 * @example
 * ```ts
 * computeEnginePriority(1, true); // 6
 * ```
 */
export function computeEnginePriority(rank: number, isLate: boolean): number {
    return rank + (isLate ? RANKS : 0);
}
