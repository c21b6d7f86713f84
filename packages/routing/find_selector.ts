import type { ConfigurationDocument, Selector } from "../configuration/mod.ts";

const UNRESTRICTED_SELECTOR: Selector = { organisations: {}, models: [], servers: {}, priority: 5 };

/**
 * Finds the first selector that matches a request.
 *
 * @param document Configuration in force.
 * @param organisation Name of the organisation.
 * @param model Name of the model.
 * @returns The selector; one that allows every server if no selector is declared; undefined if none matches.
 * @example
 * ```ts
 * findSelector(document, "north", "drafting")?.priority; // 5
 * ```
 */
export function findSelector(
    document: ConfigurationDocument,
    organisation: string,
    model: string,
): Selector | undefined {
    const selectors = Object.values(document.selectors);
    if (selectors.length === 0) {
        return UNRESTRICTED_SELECTOR;
    }
    const labels = document.organisations[organisation]?.labels ?? {};
    return selectors.find(selector =>
        Object.entries(selector.organisations).every(([key, value]) => labels[key] === value)
        && (selector.models.length === 0 || selector.models.includes(model))
    );
}
