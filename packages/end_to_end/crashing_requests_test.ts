import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { type EngineDescription, Fleet, parseCompletion } from "../harness/mod.ts";
import type { EngineTrace } from "../oracles/mod.ts";

/** Text in a prompt that crashes the engine which computes it. */
const CRASH_TEXT = "CRASH-THE-ENGINE";
const ENGINES: EngineDescription[] = [
    ...[1, 2, 3, 4].map((number): EngineDescription => ({
        name: `prefill-${number}`,
        role: "prefill",
        failureDomain: "domain-1",
        capacity: 4,
        // Slow enough that other prefills are running when the crashing request arrives.
        engine: { prefillTokensPerSecond: 4_000, coldMilliseconds: 500 },
    })),
    { name: "decode-1", role: "decode", failureDomain: "domain-1", capacity: 40 },
];

test("a request that crashes servers is blocked after two crashes at every instance; others finish", async () => {
    const fleet = await Fleet.start({ instances: 3, engines: ENGINES, services: 0 });
    try {
        await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn(address, { poison: CRASH_TEXT })));
        await sleep(2_000);
        const send = (index: number, label: string, text: string) =>
            fleet.call(index, "/v1/completions", {
                key: fleet.key("north"),
                body: { model: "drafting", prompt: `[[${label}]]${"word".repeat(800)}${text}`, max_tokens: 20 },
            });
        // Raises the slow-start limits, so that several prefills run concurrently.
        for (let round = 0; round < 6; round++) {
            await Promise.all([0, 1, 2, 0, 1, 2].map((index, number) => send(index, `warm-${round}-${number}`, "")));
        }
        const neighbours = Array.from({ length: 9 }, (_, number) => send(number % 3, `neighbour-${number}`, ""));
        await sleep(100);
        const refused = await send(0, "crashing", CRASH_TEXT);
        expect(refused.reason).toBe("request-crashes-servers");
        for (const index of [1, 2, 0]) {
            const again = await send(index, "crashing", CRASH_TEXT);
            expect(again).toMatchObject({ reason: "request-crashes-servers", verdict: "not-run", status: 422 });
        }
        const completions = (await Promise.all(neighbours)).map(parseCompletion);
        expect(completions.filter(({ finish }) => finish === undefined)).toEqual([]);
        const traces = await Promise.all(
            fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)),
        );
        const crashedEngines = traces.filter(({ trace }) =>
            trace.some(({ label, kind }) => label === "crashing" && kind === "prefill")
        );
        expect(crashedEngines).toHaveLength(2);
        const crashedNeighbours = traces.flatMap(({ trace }) => trace).filter(({ label, crashed }) =>
            crashed && label !== "crashing"
        );
        expect(crashedNeighbours.length).toBeGreaterThan(0);
    }
    finally {
        await fleet.close();
    }
});

test("a crash is counted although the only instance that had the request is killed before the crash", async () => {
    const fleet = await Fleet.start({ instances: 6, engines: ENGINES, services: 0 });
    try {
        const faults = { poison: CRASH_TEXT, poisonDelayMilliseconds: 700 };
        await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn(address, faults)));
        await fleet.waitUntilConverged();
        const send = (index: number) =>
            fleet.call(index, "/v1/completions", {
                key: fleet.key("north"),
                body: { model: "drafting", prompt: `[[crashing]]word${CRASH_TEXT}`, max_tokens: 20 },
            });
        const homedPrefillServers = await Promise.all(fleet.instances.map(async (_, index) => {
            const client = fleet.operator(index);
            const status = await client.status();
            client.close();
            return status.isOk() ? status.value.servers.filter(({ server }) => server.startsWith("prefill")).length : 1;
        }));
        // An instance that is not the home of a prefill server's ledger, so that killing it loses only the request.
        const killed = homedPrefillServers.indexOf(0);
        expect(killed).toBeGreaterThanOrEqual(0);
        const interrupted = send(killed);
        await sleep(300);
        await fleet.instances[killed]?.process.kill();
        await interrupted;
        await sleep(1_500);
        const others = fleet.instances.map((_, index) => index).filter(index => index !== killed);
        const again = await send(others[0] ?? 0);
        expect(again.reason).toBe("request-crashes-servers");
        const traces = await Promise.all(
            fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)),
        );
        const crashedEngines = traces.filter(({ trace }) => trace.some(({ label }) => label === "crashing"));
        expect(crashedEngines).toHaveLength(2);
    }
    finally {
        await fleet.close();
    }
});
