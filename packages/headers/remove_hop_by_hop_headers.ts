import type { IncomingHttpHeaders } from "node:http";

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
    "host",
]);

/**
 * Removes the headers that concern one connection only (RFC 9110, section 7.6.1).
 *
 * @param headers Headers as received.
 * @returns The headers to pass on.
 * @example
 * ```ts
 * removeHopByHopHeaders({ connection: "close", accept: "text/plain" }); // { accept: "text/plain" }
 * ```
 */
export function removeHopByHopHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const named = String(headers.connection ?? "").split(",").map(name => name.trim().toLowerCase());
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !HOP_BY_HOP.has(name) && !named.includes(name)) {
            kept[name] = value;
        }
    }
    return kept;
}
