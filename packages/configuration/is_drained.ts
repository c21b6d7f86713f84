import type { ConfigurationDocument } from "./configuration_document.ts";

/**
 * Reports whether a backend server is drained, either itself or through its failure domain.
 *
 * @param document Configuration in force.
 * @param server Name of the server.
 * @returns Whether it must get no new work; also true for a server that is not configured.
 * @example
 * ```ts
 * isDrained(emptyDocument(), "decode-1"); // true
 * ```
 */
export function isDrained(document: ConfigurationDocument, server: string): boolean {
    const failureDomain = document.backendServers[server]?.failureDomain;
    return failureDomain === undefined
        || Object.hasOwn(document.drainedServers, server)
        || Object.hasOwn(document.drainedDomains, failureDomain);
}
