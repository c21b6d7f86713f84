import type { ConfigurationDocument } from "./configuration_document.ts";

/**
 * Creates the configuration document of version 0.
 *
 * @returns A document without entries.
 */
export function emptyDocument(): ConfigurationDocument {
    return {
        failureDomains: {},
        organisations: {},
        models: {},
        backendServers: {},
        selectors: {},
        routes: {},
        keys: {},
        drainedServers: {},
        drainedDomains: {},
    };
}
