import { HOP_BY_HOP } from "./_hop_by_hop.ts";

/**
 * Removes hop-by-hop headers (RFC 9110, section 7.6.1) from a list of alternating names and values.
 *
 * @param raw Alternating names and values, as received.
 * @param removed Lower-case names of further headers to remove.
 * @returns The remaining names and values, unchanged and in order.
 * @example
 * ```ts
 * filterRawHeaders(["Connection", "close", "Accept", "*"], new Set()); // ["Accept", "*"]
 * ```
 */
export function filterRawHeaders(raw: string[], removed: ReadonlySet<string>): string[] {
    const connectionOptions = new Set<string>();
    for (let index = 0; index + 1 < raw.length; index += 2) {
        if (raw[index]?.toLowerCase() === "connection") {
            (raw[index + 1] ?? "").split(",").forEach(name => connectionOptions.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = (raw[index] ?? "").toLowerCase();
        if (!HOP_BY_HOP.has(name) && !connectionOptions.has(name) && !removed.has(name)) {
            kept.push(raw[index] ?? "", raw[index + 1] ?? "");
        }
    }
    return kept;
}
