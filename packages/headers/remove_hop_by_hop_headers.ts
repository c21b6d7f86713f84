import type { IncomingHttpHeaders } from "node:http";
import { HOP_BY_HOP } from "./_hop_by_hop.ts";

/**
 * Removes the hop-by-hop headers (RFC 9110, section 7.6.1) and the host header.
 *
 * @param headers Headers as received.
 * @returns The headers to forward.
 * @example
 * ```ts
 * removeHopByHopHeaders({ connection: "close", accept: "text/plain" }); // { accept: "text/plain" }
 * ```
 */
export function removeHopByHopHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const options = String(headers.connection ?? "").split(",").map(name => name.trim().toLowerCase());
    const connectionOptions = new Set(options);
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && name !== "host" && !HOP_BY_HOP.has(name) && !connectionOptions.has(name)) {
            kept[name] = value;
        }
    }
    return kept;
}
