import type { ConfigurationDocument } from "../configuration/mod.ts";
import { findSelector } from "../routing/mod.ts";

/** Requests of an organisation for a model, and the name of the selector that applies to them. */
interface SelectedRequests {
    organisation: string;
    model: string;
    /** Undefined if no selector matches, or if none is declared. */
    selector: string | undefined;
}

/**
 * Lists which selector applies to the requests of each organisation for each model.
 *
 * @param document The configuration.
 * @returns One entry for each pair of an organisation and a model.
 * @example
 * ```ts
 * listSelectedRequests(document); // [{ organisation: "north", model: "drafting", selector: "all" }]
 * ```
 */
export function listSelectedRequests(document: ConfigurationDocument): SelectedRequests[] {
    const names = new Map(Object.entries(document.selectors).map(([name, selector]) => [selector, name]));
    return Object.keys(document.organisations).flatMap(organisation =>
        Object.keys(document.models).map(model => {
            const selector = findSelector(document, organisation, model);
            return { organisation, model, selector: selector && names.get(selector) };
        })
    );
}
