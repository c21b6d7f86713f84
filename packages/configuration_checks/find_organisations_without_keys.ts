import type { ConfigurationDocument } from "../configuration/mod.ts";
import type { Finding } from "./finding.ts";

/**
 * Finds organisations that nobody can call for, since no API key has been granted to them.
 *
 * @param document The configuration in force with a declaration applied; a declaration alone has no keys.
 * @returns One finding for each such organisation.
 * @example
 * ```ts
 * findOrganisationsWithoutKeys(document); // [{ path: "organisations.north", message: "has no API key" }]
 * ```
 */
export function findOrganisationsWithoutKeys(document: ConfigurationDocument): Finding[] {
    const granted = new Set(Object.values(document.keys).map(({ organisation }) => organisation));
    return Object.keys(document.organisations).filter(name => !granted.has(name)).map(name => ({
        path: `organisations.${name}`,
        message: "has no API key",
    }));
}
