/** Share of the memory of a process that requests and answers may hold; the rest is for the program and for copies. */
const MEMORY_SHARE = 0.25;
/** Memory in bytes that the program takes without requests. */
const PROGRAM_BYTES = 80_000_000;
/** Share of what the program leaves of a small limit; the rest is for connections and for buffers that are not freed yet. */
const FREE_SHARE = 0.5;
/** Share of a limit that leaves the program too little, so that single requests are served. */
const LEAST_MEMORY_SHARE = 0.125;
/** Share of the JavaScript heap that requests and answers may hold. */
const HEAP_SHARE = 0.5;

/**
 * Computes how much memory requests and answers may hold in a process.
 *
 * @param memoryBytes Memory limit of the process in bytes.
 * @param heapLimitBytes Limit of its JavaScript heap in bytes, as `v8.getHeapStatistics()` reports it.
 * @returns The capacity of the budget in bytes.
 * @example
 * ```ts
 * const capacity = computeMemoryCapacity(209_715_200, getHeapStatistics().heap_size_limit);
 * ```
 */
export function computeMemoryCapacity(memoryBytes: number, heapLimitBytes: number): number {
    const freeBytes = Math.max(memoryBytes * LEAST_MEMORY_SHARE, (memoryBytes - PROGRAM_BYTES) * FREE_SHARE);
    return Math.floor(Math.min(memoryBytes * MEMORY_SHARE, freeBytes, heapLimitBytes * HEAP_SHARE));
}
