import { isDeepStrictEqual } from "node:util";
import { type ConfigurationDocument, diffDocuments } from "../configuration/mod.ts";
import { listSelectedRequests } from "./_selected_requests.ts";
import type { Difference } from "./difference.ts";

/** Collections whose entries have effects that are told. */
type Described = "organisations" | "models" | "backendServers" | "selectors" | "routes";

/** Tells what a change means for callers; the value after is undefined for a removed entry. */
type DescribeChange<Name extends Described> = (
    before: ConfigurationDocument[Name][string],
    after: ConfigurationDocument[Name][string] | undefined,
) => (string | false)[];

const describers: { [Name in Described]: DescribeChange<Name>; } = {
    organisations: (before, after) => [
        !after && "its keys are no longer accepted",
        !!after && after.tokensPerSecond < before.tokensPerSecond && "its callers are refused at a lower rate",
        !!after && after.burstTokens < before.burstTokens && "its callers are refused after a shorter burst",
    ],
    models: (before, after) => [
        !after && "requests for it are refused",
        !!after && after.contextTokens < before.contextTokens
        && `requests of more than ${after.contextTokens} tokens are refused`,
    ],
    backendServers: (before, after) => [
        !after && "gets no new work",
        !!after && after.address !== before.address && "new work goes to the new address",
        !!after && after.role !== before.role && `serves ${after.role} requests only`,
        !!after && after.capacity < before.capacity && "takes less work at once",
    ],
    selectors: (before, after) => [
        !!after && after.priority !== before.priority && `its requests have priority ${after.priority}`,
        !!after && (after.maximumOutputTokens ?? Infinity) < (before.maximumOutputTokens ?? Infinity)
        && `requests for more than ${after.maximumOutputTokens} tokens of output are refused`,
        !!after && !isDeepStrictEqual(after.servers, before.servers) && "its requests use other servers",
    ],
    routes: (before, after) => [
        !after && `${before.path} is no longer served`,
        !!after && after.path !== before.path && `${before.path} is no longer served by it`,
        !!after && before.kind === "once-only" && after.kind === "idempotent" && "a call may run more than once",
        !!after && before.kind === "idempotent" && after.kind === "once-only" && "calls need an Idempotency-Key",
        !!after && !before.open && after.open && "callers need no API key",
        !!after && before.open && !after.open && "callers need an API key",
        !!after && after.timeoutMilliseconds < before.timeoutMilliseconds
        && `calls end after ${after.timeoutMilliseconds} ms`,
    ],
};

/**
 * Lists what differs between two configurations, with what each difference means for callers.
 *
 * @param before The configuration in force.
 * @param after The configuration that would replace it.
 * @returns The differences, in the order of the collections, and the selectors that requests change to.
 * @example
 * ```ts
 * describeDifferences(before, after); // [{ path: "routes.orders", kind: "removed", effects: ["/orders is no longer served"] }]
 * ```
 */
export function describeDifferences(before: ConfigurationDocument, after: ConfigurationDocument): Difference[] {
    return [
        ...diffDocuments(before, after).map(({ collection, name, value }): Difference => {
            const former: unknown = before[collection][name];
            return {
                path: `${collection}.${name}`,
                kind: value === undefined ? "removed" : former === undefined ? "added" : "changed",
                effects: former === undefined ? [] : describeChange(collection, former, value),
            };
        }),
        ...describeSelections(before, after),
    ];
}

function describeChange(collection: string, before: unknown, after: unknown): string[] {
    if (!(collection in describers)) {
        return [];
    }
    const describe = describers[collection as Described] as (before: unknown, after: unknown) => (string | false)[];
    return describe(before, after).filter(effect => effect !== false);
}

/** Lists organisations whose requests another selector applies to, which the order of the selectors also decides. */
function describeSelections(before: ConfigurationDocument, after: ConfigurationDocument): Difference[] {
    const key = (requests: { organisation: string; model: string; }) => `${requests.organisation} ${requests.model}`;
    const former = new Map(listSelectedRequests(before).map(requests => [key(requests), requests.selector]));
    return listSelectedRequests(after)
        .filter(requests => former.has(key(requests)) && former.get(key(requests)) !== requests.selector)
        .map(({ organisation, model, selector }) => ({
            path: `organisations.${organisation}`,
            kind: "changed",
            effects: [
                `its requests for model ${model} use ${
                    selector === undefined ? "no selector" : `selector ${selector}`
                }`,
            ],
        }));
}
