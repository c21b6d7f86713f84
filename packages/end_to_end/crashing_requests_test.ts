import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { type EngineDescription, Fleet, parseCompletion } from "../harness/mod.ts";
import type { EngineTrace } from "../oracles/mod.ts";

const POISON = "CRASH-THE-ENGINE";
const ENGINES: EngineDescription[] = [
    ...[1, 2, 3, 4].map((number): EngineDescription => ({
        name: `prefill-${number}`,
        role: "prefill",
        failureDomain: "domain-1",
        capacity: 4,
        // Slow enough that neighbours are under way when the guilty request arrives.
        engine: { prefillTokensPerSecond: 4_000, coldMilliseconds: 500 },
    })),
    { name: "decode-1", role: "decode", failureDomain: "domain-1", capacity: 40 },
];

test("a request that crashes servers is stopped after two, wherever its caller sends it; its neighbours finish", async () => {
    const fleet = await Fleet.start({ instances: 3, engines: ENGINES, services: 0 });
    try {
        await Promise.all(fleet.engines.map(({ address }) => fleet.control(address, { poison: POISON })));
        await sleep(2_000);
        const send = (index: number, label: string, text: string) =>
            fleet.call(index, "/v1/completions", {
                key: fleet.key("north"),
                body: { model: "drafting", prompt: `[[${label}]]${"word".repeat(800)}${text}`, max_tokens: 20 },
            });
        // Warms the ramps, so that several prefills run beside each other.
        for (let round = 0; round < 6; round++) {
            await Promise.all([0, 1, 2, 0, 1, 2].map((index, number) => send(index, `warm-${round}-${number}`, "")));
        }
        const neighbours = Array.from({ length: 9 }, (_, number) => send(number % 3, `neighbour-${number}`, ""));
        await sleep(100);
        const guilty = await send(0, "guilty", POISON);
        expect(guilty.reason).toBe("request-crashes-servers");
        for (const index of [1, 2, 0]) {
            const again = await send(index, "guilty", POISON);
            expect(again).toMatchObject({ reason: "request-crashes-servers", verdict: "not-run", status: 422 });
        }
        const answers = (await Promise.all(neighbours)).map(parseCompletion);
        expect(answers.filter(({ finish }) => finish === undefined)).toEqual([]);
        const traces = await Promise.all(fleet.engines.map(({ address }) => fleet.control<EngineTrace>(address)));
        const crashed = traces.filter(({ trace }) =>
            trace.some(({ label, kind }) => label === "guilty" && kind === "prefill")
        );
        expect(crashed).toHaveLength(2);
        const hit = traces.flatMap(({ trace }) => trace).filter(({ label, crashed: lost }) =>
            lost && label !== "guilty"
        );
        expect(hit.length).toBeGreaterThan(0);
    }
    finally {
        await fleet.close();
    }
});

test("a crash is counted although the only instance that had the request is killed before the crash", async () => {
    const fleet = await Fleet.start({ instances: 6, engines: ENGINES, services: 0 });
    try {
        const faults = { poison: POISON, poisonDelayMilliseconds: 700 };
        await Promise.all(fleet.engines.map(({ address }) => fleet.control(address, faults)));
        await fleet.waitUntilConverged();
        const send = (index: number) =>
            fleet.call(index, "/v1/completions", {
                key: fleet.key("north"),
                body: { model: "drafting", prompt: `[[guilty]]word${POISON}`, max_tokens: 20 },
            });
        const homed = await Promise.all(fleet.instances.map(async (_, index) => {
            const client = fleet.operator(index);
            const status = await client.status();
            client.close();
            return status.isOk() ? status.value.servers.filter(({ server }) => server.startsWith("prefill")).length : 1;
        }));
        // An instance that has no ledger of a prefill server, so that only the request itself ends with it.
        const witness = homed.indexOf(0);
        expect(witness).toBeGreaterThanOrEqual(0);
        const lost = send(witness);
        await sleep(300);
        await fleet.instances[witness]?.process.kill();
        await lost;
        await sleep(1_500);
        const others = fleet.instances.map((_, index) => index).filter(index => index !== witness);
        const again = await send(others[0] ?? 0);
        expect(again.reason).toBe("request-crashes-servers");
        const traces = await Promise.all(fleet.engines.map(({ address }) => fleet.control<EngineTrace>(address)));
        const crashed = traces.filter(({ trace }) => trace.some(({ label }) => label === "guilty"));
        expect(crashed).toHaveLength(2);
    }
    finally {
        await fleet.close();
    }
});
