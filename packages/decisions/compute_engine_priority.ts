/** Priorities that an engine distinguishes, from 0, which it serves first. */
const ENGINE_PRIORITIES = 10;
/** Engine priorities for each urgency: one for requests on time and one for late ones. */
const PRIORITIES_PER_URGENCY = 2;

/**
 * Computes the priority of a request at its engine. The requests of one urgency that can no longer meet their target
 * come after those that can, and before all of the next urgency.
 *
 * @param rank Number of more urgent priorities of the service.
 * @param isLate Whether the target latency has passed and no part of the answer has been sent.
 * @returns The priority, from 0 to 9; 0 is served first.
 * @example
 * ```ts
 * computeEnginePriority(1, true); // 3
 * ```
 */
export function computeEnginePriority(rank: number, isLate: boolean): number {
    const last = ENGINE_PRIORITIES / PRIORITIES_PER_URGENCY - 1;
    return PRIORITIES_PER_URGENCY * Math.min(rank, last) + (isLate ? 1 : 0);
}
