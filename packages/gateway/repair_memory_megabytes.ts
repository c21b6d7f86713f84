import { memoryMegabytes } from "./memory_megabytes.ts";

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Chooses a memory limit in place of one that is not valid, so that the budget of requests never exceeds what was asked
 * for. Where no number can be read, it is the limit that the system has set, if that is below the default.
 *
 * @param asked What the settings have.
 * @returns The limit in megabytes.
 * @example
 * ```ts
 * repairMemoryMegabytes("160"); // 160
 * ```
 */
export function repairMemoryMegabytes(asked: unknown): number {
    const number = typeof asked === "string" && asked.trim() !== "" ? Number(asked) : asked;
    if (typeof number === "number" && Number.isFinite(number)) {
        return Math.max(memoryMegabytes.leastUsed, number);
    }
    const constrained = process.constrainedMemory() / BYTES_PER_MEGABYTE;
    return constrained > 0 ? Math.min(memoryMegabytes.default, constrained) : memoryMegabytes.default;
}
