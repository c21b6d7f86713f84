import { expect, onTestFinished, test } from "vitest";
import { PortBlock } from "../harness/mod.ts";
import { StoreStandIn } from "../stand_ins/mod.ts";
import { HttpStore } from "../store/mod.ts";
import { onceRecordKey, OnceShard } from "./mod.ts";

const RESPONSE = { status: 200, headers: {}, body: "" };

class Setup {
    readonly #homes: OnceShard[] = [];
    /** Whether homes respond to each other. */
    responding = true;

    private constructor(readonly standIn: StoreStandIn, private readonly store: HttpStore) {}

    static async start(): Promise<Setup> {
        const ports = await PortBlock.reserve();
        const standIn = new StoreStandIn(`127.0.0.1:${ports.next()}`);
        await standIn.listen();
        const store = new HttpStore(standIn.address);
        onTestFinished(async () => {
            await store.close();
            await standIn.close();
            await ports.close();
        });
        return new Setup(standIn, store);
    }

    createHome(): OnceShard {
        const home = new OnceShard(this.store, "once/0", {
            commitDeadlineMilliseconds: 200,
            collectRecords: async () => this.responding ? this.#homes.map(other => other.knownRecords) : undefined,
        });
        this.#homes.push(home);
        return home;
    }
}

function keyOf(order: string): string {
    return onceRecordKey("north", "orders", order);
}

async function begin(home: OnceShard, order: string, attempt: string) {
    return await home.begin({ key: keyOf(order), attempt, fingerprint: "f", owner: "x/1" });
}

// Guards against a call that runs a second time because the store lost the record of the first.
test("a call whose record the copy lacks is not begun again, at its home or at another one afterwards", async () => {
    const { standIn, home, copy, createHome } = await startWithRecord();
    await home.finish({ key: keyOf("1"), attempt: "a", state: "finished", answer: RESPONSE });
    standIn.restore(copy);
    const kept = { kind: "exists", record: { attempt: "a", state: "finished", answer: RESPONSE } };
    expect(await begin(home, "1", "b")).toMatchObject(kept);
    expect(await begin(createHome(), "1", "c")).toMatchObject(kept);
});

// Guards against an outcome that the store lost, so that the call stays without one for good.
test("an outcome that the copy lacks is written again over the intent that it holds", async () => {
    const { standIn, home, createHome } = await startWithRecord();
    const copy = standIn.copy();
    await home.finish({ key: keyOf("1"), attempt: "a", state: "finished", answer: RESPONSE });
    standIn.restore(copy);
    expect(await begin(home, "2", "a")).toEqual({ kind: "begun" });
    expect(await begin(createHome(), "1", "b")).toMatchObject({ kind: "exists", record: { state: "finished" } });
});

// Guards against a cached shard that is written over another home's records, since its revision was given out again.
test("a home that cached the shard keeps what another home has recorded after the return", async () => {
    const { standIn, home, copy, createHome } = await startWithRecord();
    standIn.restore(copy);
    expect(await begin(createHome(), "2", "a")).toEqual({ kind: "begun" });
    expect(await begin(home, "3", "a")).toEqual({ kind: "begun" });
    const fresh = createHome();
    for (const order of ["1", "2", "3"]) {
        expect(await begin(fresh, order, "b")).toMatchObject({ kind: "exists", record: { attempt: "a" } });
    }
});

// Guards against knowledge that ends with a failed commit, as every commit fails before a store comes back.
test("a home that could not reach the store before the return keeps what it knows", async () => {
    const { standIn, home, copy } = await startWithRecord();
    await setOutage(standIn, true);
    expect(await begin(home, "2", "a")).toEqual({ kind: "unavailable" });
    await setOutage(standIn, false);
    standIn.restore(copy);
    expect(await begin(home, "1", "b")).toMatchObject({ kind: "exists", record: { attempt: "a" } });
    standIn.restore(copy);
    expect(await begin(home, "1", "c")).toMatchObject({ kind: "exists", record: { attempt: "a" } });
});

// Guards against an intent that was withdrawn coming back in the era in which it was withdrawn.
test("an intent withdrawn after the return stays withdrawn", async () => {
    const { standIn, home, copy, createHome } = await startWithRecord();
    standIn.restore(copy);
    expect(await home.finish({ key: keyOf("1"), attempt: "a", state: "withdrawn" })).toBe(true);
    expect(await begin(createHome(), "1", "b")).toEqual({ kind: "begun" });
    expect(await begin(home, "1", "c")).toMatchObject({ kind: "exists", record: { attempt: "b" } });
});

// Guards against a home that takes the copy for complete while another one cannot be asked.
test("a home begins nothing after the return while another member does not respond", async () => {
    const { setup, standIn, copy, createHome } = await startWithRecord();
    standIn.restore(copy);
    setup.responding = false;
    expect(await begin(createHome(), "1", "b")).toEqual({ kind: "unavailable" });
    setup.responding = true;
    expect(await begin(createHome(), "1", "b")).toMatchObject({ kind: "exists", record: { attempt: "a" } });
});

/** Begins a call at a home after a copy was taken. */
async function startWithRecord() {
    const setup = await Setup.start();
    const copy = setup.standIn.copy();
    const home = setup.createHome();
    expect(await begin(home, "1", "a")).toEqual({ kind: "begun" });
    return { setup, standIn: setup.standIn, copy, home, createHome: () => setup.createHome() };
}

async function setOutage(standIn: StoreStandIn, outage: boolean): Promise<void> {
    await fetch(`http://${standIn.address}/control`, { method: "POST", body: JSON.stringify({ outage }) });
}
