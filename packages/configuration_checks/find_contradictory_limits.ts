import type { ConfigurationDocument } from "../configuration/mod.ts";
import { computeLimitShare, SHARES_PER_ORGANISATION } from "../limits/mod.ts";
import { findSelector, selectServers } from "../routing/mod.ts";
import { listSelectedRequests } from "./_selected_requests.ts";
import type { Finding } from "./finding.ts";

/**
 * Finds limits that have no effect beside others, and limits that refuse what others permit.
 *
 * @param document The configuration.
 * @returns One finding for each such limit.
 * @example
 * ```ts
 * findContradictoryLimits(document); // [{ path: "organisations.north.burstTokens", message: "..." }]
 * ```
 */
export function findContradictoryLimits(document: ConfigurationDocument): Finding[] {
    return [
        ...findIneffectiveOutputLimits(document),
        ...findSmallBursts(document),
        ...findSmallDecodeServers(document),
    ];
}

function findIneffectiveOutputLimits(document: ConfigurationDocument): Finding[] {
    return Object.entries(document.selectors).flatMap(([name, selector]) => {
        const limit = selector.maximumOutputTokens;
        const models = selector.models.length > 0 ? selector.models : Object.keys(document.models);
        const largest = Math.max(0, ...models.map(model => document.models[model]?.contextTokens ?? 0));
        return limit === undefined || limit < largest || largest === 0 ? [] : [{
            path: `selectors.${name}.maximumOutputTokens`,
            message: `has no effect: its models' largest contextTokens is ${largest}`,
        }];
    });
}

/** Finds organisations whose burst never holds a request with the largest output that its selector permits. */
function findSmallBursts(document: ConfigurationDocument): Finding[] {
    const findings = new Map<string, Finding>();
    for (const { organisation: name, model } of listSelectedRequests(document)) {
        const organisation = document.organisations[name];
        const permitted = findSelector(document, name, model)?.maximumOutputTokens;
        const held = organisation
            ? Math.floor(computeLimitShare(organisation).burstTokens * SHARES_PER_ORGANISATION)
            : 0;
        if (permitted !== undefined && Math.min(permitted, document.models[model]?.contextTokens ?? 0) > held) {
            const path = `organisations.${name}.burstTokens`;
            const message =
                `holds at most ${held} tokens, so requests with the permitted output of ${permitted} are refused`;
            findings.set(path + message, { path, message });
        }
    }
    return [...findings.values()];
}

/** Finds models whose longest requests fit no decode server. */
function findSmallDecodeServers(document: ConfigurationDocument): Finding[] {
    return Object.entries(document.models).flatMap(([name, model]) => {
        const servers = selectServers(document, { role: "decode", model: name, labels: {} });
        const largest = Math.max(0, ...servers.map(([, { capacity }]) => capacity));
        const needed = Math.ceil(model.contextTokens / model.tokensPerPiece);
        return servers.length === 0 || largest >= needed ? [] : [{
            path: `models.${name}.contextTokens`,
            message: `takes ${needed} pieces, but the largest decode server that is not drained has ${largest}`,
        }];
    });
}
