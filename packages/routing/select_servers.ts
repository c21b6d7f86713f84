import { type BackendServer, type ConfigurationDocument, isDrained } from "../configuration/mod.ts";

/** Requirements that a server must meet. */
interface ServerRequirements {
    role: BackendServer["role"];
    model?: string;
    labels: Record<string, string>;
}

/**
 * Lists the backend servers that meet some requirements and may get new work.
 *
 * @param document Configuration in force.
 * @param requirements Requirements that a server must meet.
 * @returns Names and servers, without drained servers and servers in drained failure domains.
 * @example
 * ```ts
 * selectServers(document, { role: "decode", model: "drafting", labels: {} });
 * ```
 */
export function selectServers(
    document: ConfigurationDocument,
    requirements: ServerRequirements,
): [string, BackendServer][] {
    return Object.entries(document.backendServers).filter(([name, server]) =>
        server.role === requirements.role
        && (requirements.model === undefined || server.models.includes(requirements.model))
        && Object.entries(requirements.labels).every(([key, value]) => server.labels[key] === value)
        && !isDrained(document, name)
    );
}
