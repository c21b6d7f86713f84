import type { Directory } from "../directory/mod.ts";
import type { RegisteredVersions } from "./registered_versions.ts";

/** Longest life of a stream over all attempts of its caller, as a multiple of its route's time-out. */
const LIFETIME_TIMEOUTS = 2;

/**
 * Lists the registered servers of the services whose streams callers may take up.
 *
 * @param directory The directory.
 * @param minimumLifetimeMilliseconds Shortest time for which a stream may be taken up.
 * @returns The servers by service.
 * @example
 * ```ts
 * listRegisteredVersions(directory, 64_000).get("models")?.servers;
 * ```
 */
export function listRegisteredVersions(
    directory: Pick<Directory, "servers" | "configuration">,
    minimumLifetimeMilliseconds: number,
): Map<string, RegisteredVersions> {
    const routes = directory.configuration?.routes.filter(({ kind, resumable }) => kind === "stream" && resumable)
        ?? [];
    const registered = new Map<string, RegisteredVersions>();
    for (const { services, timeoutMilliseconds } of routes) {
        for (const { service } of services) {
            const lifetimeMilliseconds = Math.max(
                minimumLifetimeMilliseconds,
                timeoutMilliseconds * LIFETIME_TIMEOUTS,
                registered.get(service)?.lifetimeMilliseconds ?? 0,
            );
            registered.set(service, { servers: [], lifetimeMilliseconds });
        }
    }
    for (const server of directory.servers.values()) {
        registered.get(server.service)?.servers.push(server);
    }
    return registered;
}
