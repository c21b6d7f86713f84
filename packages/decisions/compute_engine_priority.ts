/** Engine priorities for each rank: one for requests on time and one for late ones. */
const PRIORITIES_PER_RANK = 2;

/**
 * Computes the priority of a request at its engine. The requests of one rank that can no longer meet their target
 * come after those that can, and before all of the next rank.
 *
 * @param rank Rank of its urgency, from 0 to 4.
 * @param isLate Whether the target latency has passed and no part of the answer has been sent.
 * @returns The priority, from 0 to 9; 0 is served first.
 * @example
 * ```ts
 * computeEnginePriority(1, true); // 3
 * ```
 */
export function computeEnginePriority(rank: number, isLate: boolean): number {
    return PRIORITIES_PER_RANK * rank + (isLate ? 1 : 0);
}
