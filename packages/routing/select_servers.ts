import { type BackendServer, type ConfigurationDocument, isDrained } from "../configuration/mod.ts";

/** What a server must offer. */
interface Wanted {
    role: BackendServer["role"];
    model?: string;
    labels: Record<string, string>;
}

/**
 * Lists the backend servers that may get new work of a kind.
 *
 * @param document Configuration in force.
 * @param wanted What the server must offer.
 * @returns Names and servers; drained ones and those in drained failure domains are left out.
 * @example
 * ```ts
 * selectServers(document, { role: "decode", model: "drafting", labels: {} });
 * ```
 */
export function selectServers(document: ConfigurationDocument, wanted: Wanted): [string, BackendServer][] {
    return Object.entries(document.backendServers).filter(([name, server]) =>
        server.role === wanted.role
        && (wanted.model === undefined || server.models.includes(wanted.model))
        && Object.entries(wanted.labels).every(([key, value]) => server.labels[key] === value)
        && !isDrained(document, name)
    );
}
