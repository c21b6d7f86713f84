import { afterAll, beforeAll, expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { type CallResult, Fleet } from "../harness/mod.ts";
import { checkNotRun, checkOnceOnly, type ObservedCall, type ServiceTrace } from "../oracles/mod.ts";

let fleet: Fleet;
const calls: ObservedCall[] = [];
let sequence = 0;

beforeAll(async () => {
    fleet = await Fleet.start({ instances: 3, services: 2, engines: [] });
});

afterAll(async () => {
    await fleet.close();
});

async function sendOrder(index: number, label: string): Promise<CallResult> {
    const startedAt = Date.now();
    const result = await fleet.call(index, "/v1/orders", {
        key: fleet.key("north"),
        body: { item: label },
        headers: { "idempotency-key": label },
    });
    const call = { kind: "once-only", label, organisation: "north", prompt: "", maximumTokens: 0 } as const;
    calls.push({ ...call, startedAt, endedAt: Date.now(), cancelled: false, result });
    return result;
}

function newLabel(): string {
    return `order-${sequence++}`;
}

async function readTraces(): Promise<ServiceTrace[]> {
    return await Promise.all(fleet.services.map(({ address }) => fleet.controlStandIn<ServiceTrace>(address)));
}

async function countRuns(label: string): Promise<number> {
    return (await readTraces()).flatMap(trace => trace.calls).filter(({ key }) => key === label).length;
}

async function setServiceFaults(faults: object): Promise<void> {
    await Promise.all(fleet.services.map(({ address }) => fleet.controlStandIn(address, faults)));
}

/** Checks that no call ran twice and that no call refused as not-run ran. */
async function expectGuarantees(): Promise<void> {
    const services = await readTraces();
    expect(checkOnceOnly(calls, services).violations).toEqual([]);
    expect(checkNotRun(calls, [], services).violations).toEqual([]);
}

test("a call sent to every instance at once runs once, and each caller gets the same response", async () => {
    await setServiceFaults({ delayMilliseconds: 200 });
    for (let round = 0; round < 5; round++) {
        const label = newLabel();
        const results = await Promise.all([0, 1, 2, 0, 1, 2].map(index => sendOrder(index, label)));
        expect(results.map(({ status }) => status)).toEqual(Array(6).fill(200));
        expect(new Set(results.map(({ text }) => text)).size).toBe(1);
        expect(await countRuns(label)).toBe(1);
    }
    await setServiceFaults({ delayMilliseconds: 0 });
    await expectGuarantees();
});

test("a call whose response the service drops is refused as may-have-run, and no resend runs it again", async () => {
    await setServiceFaults({ cutAnswers: 1 });
    const label = newLabel();
    const first = await sendOrder(0, label);
    expect(first).toMatchObject({ reason: "once-only-outcome-unknown", verdict: "may-have-run" });
    await setServiceFaults({ cutAnswers: 0 });
    for (const index of [0, 1, 2]) {
        expect(await sendOrder(index, label)).toMatchObject({ verdict: "may-have-run", status: 409 });
    }
    expect(await countRuns(label)).toBe(1);
    await expectGuarantees();
});

test("while the store is down a call is refused as not-run and not sent; afterwards it runs", async () => {
    await fleet.controlStandIn(fleet.storeAddress, { outage: true });
    const label = newLabel();
    const refused = await Promise.all([0, 1, 2].map(index => sendOrder(index, label)));
    for (const result of refused) {
        expect(result).toMatchObject({ reason: "once-only-records-unavailable", verdict: "not-run", status: 503 });
    }
    expect(await countRuns(label)).toBe(0);
    await fleet.controlStandIn(fleet.storeAddress, { outage: false });
    await expectRuns(label);
    await expectGuarantees();
});

/** Resends a call that was refused as not-run until it runs. */
async function expectRuns(label: string): Promise<void> {
    for (let attempt = 0; attempt < 20; attempt++) {
        const result = await sendOrder(attempt % 3, label);
        if (result.status === 200) {
            expect(await countRuns(label)).toBe(1);
            return;
        }
        expect(result.verdict).toBe("not-run");
        await sleep(300);
    }
    expect.fail("the call did not run in 20 attempts");
}

test("a store outage that begins while the service runs a call does not lose the stored response", async () => {
    await setServiceFaults({ delayMilliseconds: 600 });
    const label = newLabel();
    const first = sendOrder(0, label);
    await sleep(250);
    await fleet.controlStandIn(fleet.storeAddress, { outage: true });
    expect(await first).toMatchObject({ status: 200 });
    await setServiceFaults({ delayMilliseconds: 0 });
    const during = await sendOrder(1, label);
    expect(during.status).not.toBe(200);
    await fleet.controlStandIn(fleet.storeAddress, { outage: false });
    await expectStoredResponse(label, (await first).text);
    await expectGuarantees();
});

/** Resends a call until its stored response comes back. */
async function expectStoredResponse(label: string, text: string): Promise<void> {
    for (let attempt = 0; attempt < 20; attempt++) {
        const result = await sendOrder(1, label);
        if (result.status === 200) {
            expect(result.text).toBe(text);
            expect(await countRuns(label)).toBe(1);
            return;
        }
        await sleep(300);
    }
    expect.fail("the stored response did not come back in 20 attempts");
}

test("store writes that take effect without a response never run a call twice", async () => {
    await fleet.controlStandIn(fleet.storeAddress, { loseAnswers: 0.5 });
    const labels = Array.from({ length: 20 }, newLabel);
    await Promise.all(labels.flatMap(label => [sendOrder(0, label), sendOrder(1, label)]));
    const { counts } = await fleet.controlStandIn<{ counts: { lostAnswers: number; }; }>(fleet.storeAddress, {
        loseAnswers: 0,
    });
    expect(counts.lostAnswers).toBeGreaterThan(0);
    await expectGuarantees();
});

test("a call runs at most once if its instance is suspended while sending it and resumed later", async () => {
    await setServiceFaults({ delayMilliseconds: 300 });
    for (const pauseMilliseconds of [20, 100, 200]) {
        const label = newLabel();
        const first = sendOrder(0, label);
        await sleep(pauseMilliseconds);
        fleet.instances[0]?.process.suspend();
        const second = sendOrder(1, label);
        await sleep(1_500);
        fleet.instances[0]?.process.resume();
        const results = await Promise.all([first, second]);
        expect(results.some(({ status, verdict }) => status === 200 || verdict === "may-have-run")).toBe(true);
        await expectGuarantees();
    }
    await setServiceFaults({ delayMilliseconds: 0 });
});

test("calls of a killed instance run at most once, and each resend succeeds or gets a verdict", async () => {
    await setServiceFaults({ delayMilliseconds: 300 });
    const labels = Array.from({ length: 12 }, newLabel);
    const first = Promise.all(labels.map(label => sendOrder(2, label)));
    await sleep(200);
    await fleet.instances[2]?.process.kill();
    const interrupted = await first;
    expect(interrupted.some(result => result.broken)).toBe(true);
    await setServiceFaults({ delayMilliseconds: 0 });
    const resent = await Promise.all(labels.map((label, index) => sendOrder(index % 2, label)));
    expect(resent.every(({ status, verdict }) => status === 200 || verdict !== undefined)).toBe(true);
    await fleet.restart(2);
    await Promise.all(labels.map(label => sendOrder(2, label)));
    await expectGuarantees();
});

test("a call without an idempotency key, or with the key of another call, is refused", async () => {
    const withoutKey = await fleet.call(0, "/v1/orders", { key: fleet.key("north"), body: {} });
    expect(withoutKey).toMatchObject({ status: 400, reason: "idempotency-key-missing", verdict: "not-run" });
    const label = newLabel();
    await sendOrder(0, label);
    const other = await fleet.call(1, "/v1/orders", {
        key: fleet.key("north"),
        body: { item: "another" },
        headers: { "idempotency-key": label },
    });
    expect(other).toMatchObject({ status: 422, reason: "idempotency-key-reused", verdict: "not-run" });
    const otherOrganisation = await fleet.call(1, "/v1/orders", {
        key: fleet.key("south"),
        body: { item: "another" },
        headers: { "idempotency-key": label },
    });
    expect(otherOrganisation.status).toBe(200);
});

test("a call to an unreachable service is refused as not-run", async () => {
    const address = fleet.services[0]?.address;
    const names = fleet.services.map(({ name }) => name);
    const unreachable = "127.0.0.1:1";
    const entry = (name: string) => ({
        address: name === names[0] ? unreachable : `${unreachable}${names.indexOf(name)}`,
        role: "service",
        failureDomain: "domain-1",
        models: [],
        labels: { kind: "orders" },
        capacity: 100,
        fencing: "ignored",
    });
    expect(address).toBeDefined();
    await fleet.change(names.map(name => ({ collection: "backendServers", name, value: entry(name) })));
    const label = newLabel();
    const result = await sendOrder(0, label);
    expect(result).toMatchObject({ status: 503, reason: "backend-failed", verdict: "not-run" });
    await expectGuarantees();
});
