import { expect, test } from "vitest";
import { type ConfigurationDocument, declarationSchema, emptyDocument } from "../configuration/mod.ts";
import {
    describeDifferences,
    findContradictoryLimits,
    findIgnoredOrder,
    findOrganisationsWithoutKeys,
    findUnusedEntries,
} from "./mod.ts";

const DOMAINS = { riga: {} };
const MODELS = { drafting: { contextTokens: 64_000 } };
const ORGANISATIONS = {
    north: { tokensPerSecond: 1_000, burstTokens: 100_000, labels: { size: "large" } },
    south: { tokensPerSecond: 1_000, burstTokens: 100_000, labels: { size: "small" } },
};
const SERVERS = {
    "prefill-1": engine("prefill", 1, "new"),
    "decode-1": engine("decode", 16, "new"),
    "decode-2": engine("decode", 16, "old"),
    "orders-1": { address: "127.0.0.1:9", role: "service", failureDomain: "riga", capacity: 1, labels: { kind: "a" } },
};
const ORDERS = { path: "/v1/orders", kind: "once-only", servers: { kind: "a" } };

function engine(role: string, capacity: number, pool: string): object {
    return { address: "127.0.0.1:1", role, failureDomain: "riga", models: ["drafting"], capacity, labels: { pool } };
}

function build(entries: object): ConfigurationDocument {
    const defaults = { failureDomains: DOMAINS, organisations: ORGANISATIONS, models: MODELS, backendServers: SERVERS };
    return { ...emptyDocument(), ...declarationSchema.parse({ ...defaults, ...entries }) };
}

test.each<[string, object, string[]]>([
    ["nothing unused", { selectors: { all: {} }, routes: { orders: ORDERS } }, []],
    ["no selectors", {}, []],
    ["a selector behind one for all organisations", {
        selectors: { all: {}, large: { organisations: { size: "large" } } },
    }, ["selectors.large: hidden by selectors.all, which match all of its requests first"]],
    ["a selector behind two that cover it together", {
        selectors: {
            large: { organisations: { size: "large" } },
            small: { organisations: { size: "small" } },
            rest: { models: ["drafting"] },
        },
    }, ["selectors.rest: hidden by selectors.large, selectors.small, which match all of its requests first"]],
    ["a selector that is hidden for some of its requests only", {
        selectors: { large: { organisations: { size: "large" } }, rest: {} },
    }, []],
    ["an organisation without a selector", { selectors: { large: { organisations: { size: "large" } } } }, [
        "organisations.south: no selector matches its requests for model drafting, so they are refused",
    ]],
    ["a selector whose servers are of one role", { selectors: { old: { servers: { pool: "old" } } } }, [
        "selectors.old.servers: no prefill server that is not drained serves model drafting",
    ]],
    ["a model without servers", { models: { ...MODELS, voice: { contextTokens: 1_000 } } }, [
        "models.voice: no prefill server that is not drained serves model voice",
        "models.voice: no decode server that is not drained serves model voice",
    ]],
    ["a route below an earlier one", {
        routes: { all: { ...ORDERS, path: "/v1/orders" }, one: { ...ORDERS, path: "/v1/orders/one" } },
    }, [
        "routes.one.path: hidden by routes.all, which matches all of its paths first",
    ]],
    ["a route above an earlier one, and one that only begins alike", {
        routes: { one: { ...ORDERS, path: "/v1/orders/one" }, all: ORDERS, other: { ...ORDERS, path: "/v1/orders-2" } },
    }, []],
    ["a route that covers the router's paths", { routes: { all: { ...ORDERS, path: "/v1" } } }, [
        "routes.all.path: does not get requests for /v1/chat/completions, /v1/completions, /v1/models, which the router serves",
    ]],
    ["a failure domain without servers", { failureDomains: { ...DOMAINS, tallinn: {} } }, [
        "failureDomains.tallinn: no backend server is in it",
    ]],
])("unused entries: %s", (_name, entries, expected) => {
    expect(findUnusedEntries(build(entries)).map(({ path, message }) => `${path}: ${message}`)).toEqual(expected);
});

test.each<[string, object, string[]]>([
    ["none", { selectors: { all: { maximumOutputTokens: 8_000 } } }, []],
    ["an output limit above every context", { selectors: { all: { maximumOutputTokens: 64_000 } } }, [
        "selectors.all.maximumOutputTokens: has no effect: its models' largest contextTokens is 64000",
    ]],
    [
        "a burst below the permitted output",
        {
            organisations: { north: { tokensPerSecond: 1_000, burstTokens: 8_000 } },
            selectors: { all: { maximumOutputTokens: 8_000 } },
        },
        ["organisations.north.burstTokens: holds at most 7500 tokens, so requests with the permitted output of 8000 are refused"],
    ],
    ["a context that fits no decode server", { models: { drafting: { contextTokens: 64_001 } } }, [
        "models.drafting.contextTokens: takes 17 pieces, but the largest decode server that is not drained has 16",
    ]],
])("contradictory limits: %s", (_name, entries, expected) => {
    expect(findContradictoryLimits(build(entries)).map(({ path, message }) => `${path}: ${message}`)).toEqual(expected);
});

test.each<[string, object, object, string[]]>([
    ["equal", { routes: { orders: ORDERS } }, { routes: { orders: ORDERS } }, []],
    ["an added organisation", {}, { organisations: { ...ORGANISATIONS, east: ORGANISATIONS.north } }, [
        "added organisations.east: ",
    ]],
    ["a removed organisation", {}, { organisations: { north: ORGANISATIONS.north } }, [
        "removed organisations.south: its keys are no longer accepted",
    ]],
    ["a lower rate with a longer burst", {}, {
        organisations: {
            ...ORGANISATIONS,
            south: { ...ORGANISATIONS.south, tokensPerSecond: 10, burstTokens: 200_000 },
        },
    }, ["changed organisations.south: its callers are refused at a lower rate"]],
    ["a once-only route that becomes idempotent and open", { routes: { orders: ORDERS } }, {
        routes: { orders: { ...ORDERS, kind: "idempotent", open: true } },
    }, ["changed routes.orders: a call may run more than once; callers need no API key"]],
    ["a selector with a new priority", { selectors: { all: {} } }, { selectors: { all: { priority: 7 } } }, [
        "changed selectors.all: its requests have priority 7",
    ]],
    ["a selector before that in force", { selectors: { all: {} } }, {
        selectors: { large: { organisations: { size: "large" } }, all: {} },
    }, [
        "added selectors.large: ",
        "changed organisations.north: its requests for model drafting use selector large",
    ]],
    ["a removed server", {}, { backendServers: { ...SERVERS, "decode-2": undefined } }, [
        "removed backendServers.decode-2: gets no new work",
    ]],
])("differences: %s", (_name, before, after, expected) => {
    const lines = describeDifferences(build(before), build(JSON.parse(JSON.stringify(after)) as object))
        .map(({ kind, path, effects }) => `${kind} ${path}: ${effects.join("; ")}`);
    expect(lines).toEqual(expected);
});

test("an order that applying the declaration does not bring about is found", () => {
    const declared = build({ selectors: { large: {}, all: {} } });
    const applied = build({ selectors: { all: {}, large: {} } });
    expect(findIgnoredOrder(declared, declared)).toEqual([]);
    expect(findIgnoredOrder(declared, applied)).toEqual([
        { path: "selectors", message: "once applied, their order is all, large; to change it, remove entries first" },
    ]);
});

test("an organisation without keys is found", () => {
    const keys = { aa: { organisation: "north", label: "" } };
    expect(findOrganisationsWithoutKeys({ ...build({}), keys })).toEqual([
        { path: "organisations.south", message: "has no API key" },
    ]);
});
