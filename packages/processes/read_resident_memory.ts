/**
 * Reads the resident memory of this process, which takes a file descriptor.
 *
 * @returns The memory in bytes; undefined if it cannot be read, such as without a descriptor left.
 * @example
 * ```ts
 * const residentBytes = readResidentMemory();
 * ```
 */
export function readResidentMemory(): number | undefined {
    try {
        return process.memoryUsage.rss();
    }
    catch {
        return undefined;
    }
}
