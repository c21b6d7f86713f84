/** Copies of its bytes that are kept of a head: as parsed, for the server, and as sent to it. */
const HEAD_COPIES = 4;
/** Memory in bytes of one header field besides its bytes: strings, and entries of the lists and maps that hold them. */
const FIELD_BYTES = 320;

/**
 * Estimates how much memory the head of a request takes, from its first bytes until its response has ended.
 *
 * @param bytes Size in bytes of what has arrived of it.
 * @param fields Number of its header fields.
 * @returns Memory in bytes.
 * @example
 * ```ts
 * estimateHeadMemory(1_000, 10); // 7,200
 * ```
 */
export function estimateHeadMemory(bytes: number, fields: number): number {
    return bytes * HEAD_COPIES + fields * FIELD_BYTES;
}
