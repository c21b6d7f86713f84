import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { Fleet } from "../harness/mod.ts";
import { checkLimits, type EngineTrace } from "../oracles/mod.ts";
import { RandomSource } from "../randomness/mod.ts";

const ORGANISATIONS = {
    small: { tokensPerSecond: 600, burstTokens: 3_000, weight: 1, labels: {} },
    other: { tokensPerSecond: 5_000, burstTokens: 30_000, weight: 1, labels: {} },
};

let sequence = 0;

async function send(fleet: Fleet, index: number, organisation: string, promptTokens: number, maximumTokens: number) {
    const label = `[[${organisation}:${sequence++}]]`;
    const prompt = `${label}${"word".repeat(Math.max(0, promptTokens - Math.ceil(label.length / 4)))}`;
    const body = { model: "drafting", prompt, max_tokens: maximumTokens };
    return await fleet.call(index, "/v1/completions", {
        key: fleet.key(organisation),
        body,
        timeoutMilliseconds: 15_000,
    });
}

async function readTraces(fleet: Fleet): Promise<EngineTrace[]> {
    return await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)));
}

/** Sends requests to all instances at several times the organisation's rate; returns how many were served. */
async function flood(fleet: Fleet, seconds: number, random: RandomSource): Promise<number> {
    const running: Promise<number>[] = [];
    const endsAt = performance.now() + seconds * 1_000;
    while (performance.now() < endsAt) {
        const index = random.integer(0, fleet.instances.length - 1);
        const call = send(fleet, index, "small", random.integer(20, 300), random.integer(10, 150));
        running.push(call.then(({ status }) => status));
        await sleep(50);
    }
    return (await Promise.all(running)).filter(status => status === 200).length;
}

test("a flood stays within rate and burst while homes are killed, suspended and replaced", async () => {
    const random = new RandomSource(8);
    const fleet = await Fleet.start({ instances: 4, organisations: ORGANISATIONS });
    try {
        const flooding = flood(fleet, 14, random);
        await sleep(2_000);
        await fleet.instances[0]?.process.kill();
        await sleep(1_500);
        await fleet.restart(0);
        fleet.instances[1]?.process.suspend();
        await sleep(2_000);
        fleet.instances[1]?.process.resume();
        await fleet.instances[2]?.process.terminate();
        await fleet.restart(2);
        await fleet.controlStandIn(fleet.storeAddress, { outage: true });
        await sleep(1_000);
        await fleet.instances[3]?.process.kill();
        const served = await flooding;
        await fleet.controlStandIn(fleet.storeAddress, { outage: false });
        const checkResult = checkLimits(await readTraces(fleet), ORGANISATIONS);
        expect(checkResult.violations).toEqual([]);
        expect(checkResult.checks).toBeGreaterThan(500);
        expect(served).toBeGreaterThan(20);
    }
    finally {
        await fleet.close();
    }
});

test("killing homes again and again never restores tokens that were spent", async () => {
    const organisations = { small: { tokensPerSecond: 60, burstTokens: 3_000, weight: 1, labels: {} } };
    const fleet = await Fleet.start({ instances: 4, organisations });
    try {
        const flooding = flood(fleet, 12, new RandomSource(10));
        for (let round = 0; round < 6; round++) {
            await sleep(900);
            await fleet.instances[round % 4]?.process.kill();
            await fleet.restart(round % 4);
        }
        await flooding;
        const checkResult = checkLimits(await readTraces(fleet), organisations);
        expect(checkResult.violations).toEqual([]);
        expect(checkResult.checks).toBeGreaterThan(3);
    }
    finally {
        await fleet.close();
    }
});

test("a request larger than a share is charged to several, and one larger than the burst is refused", async () => {
    const fleet = await Fleet.start({ instances: 3, organisations: ORGANISATIONS });
    try {
        // Shares start empty; at 600 tokens a second the burst of 3,000 is full after five seconds.
        await sleep(5_500);
        const large = await send(fleet, 0, "small", 2_000, 100);
        expect(large).toMatchObject({ status: 200 });
        const tooLarge = await send(fleet, 1, "small", 3_000, 100);
        expect(tooLarge).toMatchObject({
            status: 400,
            reason: "burst-exceeded",
            verdict: "not-run",
            retryAfter: undefined,
        });
        expect(checkLimits(await readTraces(fleet), ORGANISATIONS).violations).toEqual([]);
    }
    finally {
        await fleet.close();
    }
});

test("an organisation within its rate is served while another floods and the store is down", async () => {
    const random = new RandomSource(9);
    const fleet = await Fleet.start({ instances: 3, organisations: ORGANISATIONS });
    try {
        await sleep(4_000);
        await fleet.controlStandIn(fleet.storeAddress, { outage: true });
        const flooding = flood(fleet, 6, random);
        const statuses: number[] = [];
        for (let number = 0; number < 12; number++) {
            const { status } = await send(fleet, number % 3, "other", 400, 60);
            statuses.push(status);
        }
        await flooding;
        expect(statuses).toEqual(Array(12).fill(200));
        expect(checkLimits(await readTraces(fleet), ORGANISATIONS).violations).toEqual([]);
    }
    finally {
        await fleet.close();
    }
});
