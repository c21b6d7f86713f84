import type { ConfigurationDocument, Selector } from "../configuration/mod.ts";
import { findSelector, selectServers } from "../routing/mod.ts";
import { listSelectedRequests } from "./_selected_requests.ts";
import type { Finding } from "./finding.ts";

/** Paths that the router serves itself, before any route. */
const RESERVED_PATHS = ["/v1/chat/completions", "/v1/completions", "/v1/models"];

/**
 * Finds entries that no request can reach, and requests that no entry serves. Entries without any matching server or
 * organisation are left to `checkDeclaration`.
 *
 * @param document The configuration.
 * @returns One finding for each such entry.
 * @example
 * ```ts
 * findUnusedEntries(document); // [{ path: "routes.orders.path", message: "hidden by routes.all ..." }]
 * ```
 */
export function findUnusedEntries(document: ConfigurationDocument): Finding[] {
    return [
        ...findHiddenSelectors(document),
        ...findUnselectedRequests(document),
        ...findUnservedModels(document),
        ...findHiddenRoutes(document),
        ...findEmptyDomains(document),
    ];
}

function findHiddenSelectors(document: ConfigurationDocument): Finding[] {
    const selected = listSelectedRequests(document);
    return Object.entries(document.selectors).flatMap(([name, selector]) => {
        const only = { ...document, selectors: { [name]: selector } };
        const matched = selected.filter(({ organisation, model }) => findSelector(only, organisation, model));
        if (matched.length === 0 || matched.some(requests => requests.selector === name)) {
            return [];
        }
        const earlier = [...new Set(matched.map(requests => `selectors.${requests.selector}`))].join(", ");
        return [{ path: `selectors.${name}`, message: `hidden by ${earlier}, which match all of its requests first` }];
    });
}

function findUnselectedRequests(document: ConfigurationDocument): Finding[] {
    if (Object.keys(document.selectors).length === 0) {
        return [];
    }
    return listSelectedRequests(document).filter(({ selector }) => selector === undefined).map(({
        organisation,
        model,
    }) => ({
        path: `organisations.${organisation}`,
        message: `no selector matches its requests for model ${model}, so they are refused`,
    }));
}

/** Finds models for which a selector leaves servers of one role only. */
function findUnservedModels(document: ConfigurationDocument): Finding[] {
    const findings = new Map<string, Finding>();
    for (const { organisation, model, selector: name } of listSelectedRequests(document)) {
        const selector: Selector | undefined = findSelector(document, organisation, model);
        for (const role of selector ? ["prefill", "decode"] as const : []) {
            if (selectServers(document, { role, model, labels: selector?.servers ?? {} }).length === 0) {
                const path = name === undefined ? `models.${model}` : `selectors.${name}.servers`;
                const message = `no ${role} server that is not drained serves model ${model}`;
                findings.set(path + message, { path, message });
            }
        }
    }
    return [...findings.values()];
}

function findHiddenRoutes(document: ConfigurationDocument): Finding[] {
    const routes = Object.entries(document.routes);
    return routes.flatMap(([name, route], index) => {
        const path = `routes.${name}.path`;
        const hiding = routes.slice(0, index).find(([, earlier]) => covers(earlier.path, route.path));
        const reserved = RESERVED_PATHS.filter(reservedPath => covers(route.path, reservedPath));
        return [
            ...hiding ? [{ path, message: `hidden by routes.${hiding[0]}, which matches all of its paths first` }] : [],
            ...reserved.length > 0
                ? [{ path, message: `does not get requests for ${reserved.join(", ")}, which the router serves` }]
                : [],
        ];
    });
}

/** Tells whether a route's path matches another path and all below it. */
function covers(path: string, other: string): boolean {
    return other === path || other.startsWith(`${path}/`);
}

function findEmptyDomains(document: ConfigurationDocument): Finding[] {
    const used = new Set(Object.values(document.backendServers).map(({ failureDomain }) => failureDomain));
    return Object.keys(document.failureDomains).filter(name => !used.has(name)).map(name => ({
        path: `failureDomains.${name}`,
        message: "no backend server is in it",
    }));
}
