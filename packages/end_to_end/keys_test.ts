import { afterAll, beforeAll, expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { hashKey } from "../configuration/mod.ts";
import { Fleet, parseCompletion } from "../harness/mod.ts";
import type { EngineTrace, ServiceTrace } from "../oracles/mod.ts";

const EXTRA_KEY = "extra-key-0123456789abcdef";
/** Prompt with a long completion, so that its stream lasts for seconds. */
const LONG_PROMPT = "Long answer 8";

let fleet: Fleet;

beforeAll(async () => {
    fleet = await Fleet.start({ instances: 3 });
    const addresses = [...fleet.engines, ...fleet.services].map(({ address }) => address);
    const watchFor = [fleet.key("north"), fleet.key("south"), EXTRA_KEY];
    await Promise.all(addresses.map(address => fleet.controlStandIn(address, { watchFor })));
    await sleep(2_000);
});

afterAll(async () => {
    await fleet.close();
});

async function addKey(key: string): Promise<number> {
    const value = { organisation: "north", label: "" };
    return await fleet.change([{ collection: "keys", name: hashKey(key), value }]);
}

async function revokeKey(key: string, index = 0): Promise<number> {
    return await fleet.change([{ collection: "keys", name: hashKey(key) }], index);
}

async function waitUntilInForce(version: number): Promise<string[]> {
    const client = fleet.operator(0);
    const { missing } = await client.waitUntilInForce(version, 15_000);
    client.close();
    return missing;
}

test("a revoked API key is refused by every instance, and its running streams are aborted", async () => {
    expect(await waitUntilInForce(await addKey(EXTRA_KEY))).toEqual([]);
    const streams = [0, 1, 2].map(index =>
        fleet.call(index, "/v1/completions", {
            key: EXTRA_KEY,
            body: { model: "drafting", prompt: LONG_PROMPT, max_tokens: 200, stream: true },
        })
    );
    await sleep(400);
    expect(await waitUntilInForce(await revokeKey(EXTRA_KEY))).toEqual([]);
    const results = await Promise.all(streams);
    for (const result of results) {
        expect(result.reason).toBe("key-withdrawn");
        expect(parseCompletion(result).finish).toBeUndefined();
    }
    expect(results.some(({ verdict, text }) => verdict === "may-have-run" && text.includes("data:"))).toBe(true);
    for (const index of [0, 1, 2]) {
        expect(await fleet.call(index, "/v1/models", { key: EXTRA_KEY })).toMatchObject({ status: 401 });
    }
});

test("a revocation accepted just before a store outage reaches every instance", async () => {
    expect(await waitUntilInForce(await addKey(EXTRA_KEY))).toEqual([]);
    const version = await revokeKey(EXTRA_KEY, 1);
    await fleet.controlStandIn(fleet.storeAddress, { outage: true });
    expect(await waitUntilInForce(version)).toEqual([]);
    for (const index of [0, 1, 2]) {
        expect(await fleet.call(index, "/v1/models", { key: EXTRA_KEY })).toMatchObject({ status: 401 });
    }
    await fleet.controlStandIn(fleet.storeAddress, { outage: false });
});

test("an instance that restarts while store reads lag gets revocations from peers before it is ready", async () => {
    await fleet.controlStandIn(fleet.storeAddress, { readLagMilliseconds: 60_000 });
    for (let round = 0; round < 5; round++) {
        expect(await waitUntilInForce(await addKey(EXTRA_KEY))).toEqual([]);
        expect(await waitUntilInForce(await revokeKey(EXTRA_KEY))).toEqual([]);
        await fleet.instances[2]?.process.kill();
        await fleet.restart(2);
        expect(await fleet.call(2, "/v1/models", { key: EXTRA_KEY })).toMatchObject({ status: 401 });
    }
    await fleet.controlStandIn(fleet.storeAddress, { readLagMilliseconds: 0 });
});

test("an API key works only for its organisation, and an open route needs none", async () => {
    const key = fleet.key("south");
    const result = await fleet.call(0, "/v1/status/x", { key, headers: { "x-organisation": "north" } });
    expect(result.json).toMatchObject({ organisation: "south" });
    expect(await fleet.call(0, "/v1/news")).toMatchObject({ status: 200, json: { organisation: "" } });
    expect(await fleet.call(0, "/v1/status/x")).toMatchObject({ status: 401, reason: "key-missing" });
});

test("no backend server receives an API key, wherever the caller puts it", async () => {
    const key = fleet.key("north");
    const prompt = { model: "drafting", prompt: "Short", max_tokens: 5 };
    await fleet.call(0, "/v1/completions", { key, body: prompt });
    await fleet.call(0, "/v1/status/x", { key, headers: { "x-copy": key, cookie: `key=${key}` } });
    await fleet.call(0, "/v1/status/x", { headers: { "x-api-key": key } });
    for (const path of [`/v1/status/${key}`, `/v1/status?key=${key}`]) {
        expect(await fleet.call(0, path, { key })).toMatchObject({ status: 400, verdict: "not-run" });
    }
    const body = { ...prompt, prompt: `My key is ${key}` };
    expect(await fleet.call(0, "/v1/completions", { key, body })).toMatchObject({ status: 400, verdict: "not-run" });
    const engines = await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)));
    const services = await Promise.all(
        fleet.services.map(({ address }) => fleet.controlStandIn<ServiceTrace>(address)),
    );
    expect([...engines, ...services].reduce((sum, { bytesSearched }) => sum + bytesSearched, 0)).toBeGreaterThan(1_000);
    expect([...engines, ...services].map(({ watchedTextSeen }) => watchedTextSeen)).toEqual(Array(5).fill(0));
    expect(services[0]?.calls.length).toBeGreaterThan(0);
});

test("an instance that reaches neither the store nor a peer refuses API keys until it reaches a peer", async () => {
    await fleet.controlStandIn(fleet.storeAddress, { outage: true });
    fleet.instances[1]?.process.suspend();
    fleet.instances[2]?.process.suspend();
    let reason: string | undefined;
    for (let attempt = 0; attempt < 60 && reason !== "configuration-stale"; attempt++) {
        await sleep(250);
        reason = (await fleet.call(0, "/v1/models", { key: fleet.key("north") })).reason;
    }
    expect(reason).toBe("configuration-stale");
    fleet.instances[1]?.process.resume();
    fleet.instances[2]?.process.resume();
    let status = 0;
    for (let attempt = 0; attempt < 60 && status !== 200; attempt++) {
        await sleep(250);
        status = (await fleet.call(0, "/v1/models", { key: fleet.key("north") })).status;
    }
    // The store is still down for all: reaching each other is enough for the members to accept API keys again.
    expect(status).toBe(200);
    await fleet.controlStandIn(fleet.storeAddress, { outage: false });
});
