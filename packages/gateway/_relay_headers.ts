const HOP_BY_HOP = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
]);

/** Removes, from names and values by turns, what concerns one connection only (RFC 9110, section 7.6.1). */
export function relayHeaders(raw: string[], removed: ReadonlySet<string>): string[] {
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
