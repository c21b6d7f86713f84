import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { Fleet } from "../harness/mod.ts";
import {
    checkLimits,
    checkNotRun,
    checkOnceOnly,
    type EngineTrace,
    type ObservedCall,
    type ServiceTrace,
} from "../oracles/mod.ts";
import { RandomSource } from "../randomness/mod.ts";

const ORGANISATIONS = {
    north: { tokensPerSecond: 600, burstTokens: 3_000, weight: 1, labels: {} },
};

test("partitioned instances neither exceed limits nor run a call twice, and serve again afterwards", async () => {
    const random = new RandomSource(11);
    const fleet = await Fleet.start({ instances: 4, organisations: ORGANISATIONS, partitionProxies: true });
    const calls: ObservedCall[] = [];
    let sequence = 0;
    const observe = async (kind: ObservedCall["kind"], label: string, index: number) => {
        const prompt = `[[${label}]]${"word".repeat(random.integer(20, 200))}`;
        const options = kind === "model"
            ? { body: { model: "drafting", prompt, max_tokens: 60 } }
            : { body: { label }, headers: { "idempotency-key": label } };
        const startedAt = Date.now();
        const path = kind === "model" ? "/v1/completions" : "/v1/orders";
        const result = await fleet.call(index, path, { key: fleet.key("north"), ...options });
        const call = { kind, label, organisation: "north", prompt, maximumTokens: 60, startedAt, endedAt: Date.now() };
        calls.push({ ...call, cancelled: false, result });
        return result;
    };
    const load = async (milliseconds: number) => {
        const running: Promise<unknown>[] = [];
        const endsAt = performance.now() + milliseconds;
        while (performance.now() < endsAt) {
            running.push(observe("model", `north:${sequence++}`, random.integer(0, 3)));
            const label = `order-${sequence++}`;
            running.push(observe("once-only", label, random.integer(0, 3)));
            running.push(observe("once-only", label, random.integer(0, 3)));
            await sleep(100);
        }
        await Promise.all(running);
    };
    try {
        await load(2_000);
        fleet.partition([[0, 1], [2, 3]]);
        await load(3_000);
        fleet.partition([[0], [1, 2, 3]]);
        await load(2_000);
        fleet.partition([]);
        await fleet.waitUntilConverged();
        const engines = await Promise.all(
            fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)),
        );
        const services = await Promise.all(
            fleet.services.map(({ address }) => fleet.controlStandIn<ServiceTrace>(address)),
        );
        expect(checkLimits(engines, ORGANISATIONS).violations).toEqual([]);
        expect(checkOnceOnly(calls, services).violations).toEqual([]);
        expect(checkNotRun(calls, engines, services).violations).toEqual([]);
        const { status } = await observe("once-only", "after", 0);
        expect(status).toBe(200);
        expect(calls.filter(({ kind, result }) => kind === "model" && result.status === 200).length).toBeGreaterThan(5);
    }
    finally {
        await fleet.close();
    }
});
