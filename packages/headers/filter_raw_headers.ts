import { HOP_BY_HOP } from "./_hop_by_hop.ts";

/**
 * Removes, from names and values by turns, what concerns one connection only (RFC 9110, section 7.6.1).
 *
 * @param raw Names and values as they were sent.
 * @param removed Names, in lower case, of further headers to remove.
 * @returns The names and values that remain, unchanged and in order.
 * @example
 * ```ts
 * relayHeaders(["Connection", "close", "Accept", "*"], new Set()); // ["Accept", "*"]
 * ```
 */
export function filterRawHeaders(raw: string[], removed: ReadonlySet<string>): string[] {
    const named = new Set<string>();
    for (let index = 0; index + 1 < raw.length; index += 2) {
        if (raw[index]?.toLowerCase() === "connection") {
            (raw[index + 1] ?? "").split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = (raw[index] ?? "").toLowerCase();
        if (!HOP_BY_HOP.has(name) && !named.has(name) && !removed.has(name)) {
            kept.push(raw[index] ?? "", raw[index + 1] ?? "");
        }
    }
    return kept;
}
