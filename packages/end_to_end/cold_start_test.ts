import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { type EngineDescription, Fleet, parseCompletion } from "../harness/mod.ts";
import type { EngineTrace } from "../oracles/mod.ts";

const ENGINES: EngineDescription[] = [
    { name: "prefill-1", role: "prefill", failureDomain: "domain-1", capacity: 8, engine: { pieces: 40 } },
    { name: "decode-1", role: "decode", failureDomain: "domain-1", capacity: 20 },
];

async function countOverloads(fleet: Fleet): Promise<number[]> {
    const traces = await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)));
    return traces.map(({ counts }) => counts["overloads"] ?? 0);
}

test("a server that restarts cold under load is not overloaded, even when its home is lost", async () => {
    const fleet = await Fleet.start({ instances: 3, engines: ENGINES, services: 0 });
    try {
        await sleep(2_500);
        let served = 0;
        const endsAt = performance.now() + 12_000;
        const callers = Array.from({ length: 24 }, async (_, caller) => {
            for (let number = 0; performance.now() < endsAt; number++) {
                const body = { model: "drafting", prompt: `${caller}-${number}`, max_tokens: 30 };
                const index = (caller + number) % fleet.instances.length;
                const result = await fleet.call(index, "/v1/completions", { key: fleet.key("north"), body });
                served += parseCompletion(result).finish === undefined ? 0 : 1;
                await sleep(20);
            }
        });
        const decodeAddress = fleet.engines[1]?.address ?? "";
        await sleep(3_000);
        await fleet.controlStandIn(decodeAddress, { crash: true });
        await sleep(1_500);
        await fleet.instances[0]?.process.kill();
        await fleet.restart(0);
        await sleep(2_000);
        await fleet.controlStandIn(decodeAddress, { crash: true });
        await Promise.all(callers);
        const { counts } = await fleet.controlStandIn<EngineTrace>(decodeAddress);
        expect(counts["boots"]).toBe(3);
        expect(await countOverloads(fleet)).toEqual([0, 0]);
        expect(served).toBeGreaterThan(30);
    }
    finally {
        await fleet.close();
    }
});
