import type { MemoryBudget } from "./memory_budget.ts";
import type { MemoryReservation } from "./memory_reservation.ts";
import type { MemoryUse } from "./memory_use.ts";

/**
 * Reserves memory in place of a smaller reservation, which becomes part of it, so that nothing else can take its memory
 * in between.
 *
 * @param budget The budget.
 * @param held The reservation so far, for the same use. It is closed if there is no room.
 * @param bytes Size in bytes of both together.
 * @param use What the memory is for.
 * @returns The reservation, of at least that size; undefined if there is no room.
 * @example
 * ```ts
 * const head = budget.tryReserve(400, "request");
 * const request = tryReserveInstead(budget, head, 20_000, "request");
 * request?.close();
 * ```
 */
export function tryReserveInstead(
    budget: MemoryBudget,
    held: MemoryReservation | undefined,
    bytes: number,
    use: MemoryUse,
): MemoryReservation | undefined {
    if (!held) {
        return budget.tryReserve(bytes, use);
    }
    const missing = bytes - held.bytes;
    if (missing <= 0 || held.tryGrow(missing)) {
        return held;
    }
    held.close();
    return undefined;
}
