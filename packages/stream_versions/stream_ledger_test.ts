import { err, ok } from "neverthrow";
import { expect, test } from "vitest";
import { Metrics } from "../metrics/mod.ts";
import { ItemReplica } from "../replica/mod.ts";
import { StoreFailure } from "../store/mod.ts";
import { StreamLedger } from "./stream_ledger.ts";
import { StreamOrigins } from "./stream_origins.ts";

const PERIOD_MILLISECONDS = 8_000;
const LIFETIME_MILLISECONDS = 60_000;
const MODELS = new Set(["models"]);
const origin = { service: "models", version: "v2" };

/** A store, and instances that all follow it. */
function createStore() {
    const state = { now: 0, isAway: false, writes: 0, era: 1 };
    const items = new Map<string, string>();
    const replicas: ItemReplica[] = [];
    const publish = () => {
        const revision = state.writes + 1;
        const stored = [...items].map(([key, value]) => ({ key, value, era: state.era, revision }));
        replicas.forEach(replica => replica.replace({ items: stored, era: state.era, revision }, 0));
    };
    const start = (self: string) => {
        const origins = new StreamOrigins({ now: () => state.now }, LIFETIME_MILLISECONDS);
        const replica = new ItemReplica();
        replicas.push(replica);
        const ledger = new StreamLedger({
            self,
            origins,
            replica,
            store: {
                write: async ([write]) => {
                    if (state.isAway) {
                        return err(new StoreFailure("may-have-run", "away"));
                    }
                    state.writes++;
                    items.set(write?.key ?? "", write?.value ?? "");
                    publish();
                    return ok({ kind: "stored", position: replica.position });
                },
            },
            metrics: new Metrics(),
            logger: { info: () => {}, warn: () => {}, error: () => {} },
            unixTime: () => state.now,
        });
        publish();
        return { origins, ledger };
    };
    const returnEmpty = () => {
        items.clear();
        state.era++;
        publish();
    };
    return { state, items, start, returnEmpty };
}

test("streams of several versions are recorded with one write and known everywhere, also to later instances", async () => {
    const { state, start } = createStore();
    const [first, second] = [start("a"), start("b")];
    first.origins.begin("s1", origin);
    first.origins.begin("s2", { ...origin, version: "v1" });
    await first.ledger.record(MODELS);
    await first.ledger.record(MODELS);
    expect(state.writes).toBe(1);
    for (const { origins } of [second, start("c")]) {
        expect(origins.find("s1")?.origin).toEqual(origin);
        expect(origins.find("s2")?.origin).toEqual({ service: "models", version: "v1" });
        expect(origins.find("s3")).toBeUndefined();
    }
});

test("a write that fails is made up for, and other services are not recorded", async () => {
    const { state, start } = createStore();
    const { origins, ledger } = start("a");
    origins.begin("s1", origin);
    origins.begin("s2", { ...origin, service: "others" });
    state.isAway = true;
    expect(await ledger.record(MODELS)).toBe(false);
    state.isAway = false;
    expect(await ledger.record(MODELS)).toBe(true);
    const later = start("b").origins;
    expect(later.find("s1")?.origin).toEqual(origin);
    expect(later.find("s2")).toBeUndefined();
});

// Guards against records that a restarted instance writes over.
test("an instance that restarts within a period keeps what its former process recorded", async () => {
    const { state, items, start } = createStore();
    for (const [id, milliseconds] of [["s1", 0], ["s2", 1_000], ["s3", PERIOD_MILLISECONDS]] as const) {
        state.now += milliseconds;
        const { origins, ledger } = start("a");
        origins.begin(id, origin);
        await ledger.record(MODELS);
    }
    const later = start("b").origins;
    expect(["s1", "s2", "s3"].map(id => later.find(id)?.origin.version)).toEqual(["v2", "v2", "v2"]);
    expect(items.size).toBe(2);
});

test("the items of an instance stay few", async () => {
    const { state, items, start } = createStore();
    const { origins, ledger } = start("a");
    for (let stream = 0; stream < 100; stream++) {
        state.now += PERIOD_MILLISECONDS;
        origins.removeExpired();
        origins.begin(`s${stream}`, origin);
        await ledger.record(MODELS);
    }
    expect(items.size).toBe(8);
    expect(origins.find("s0")).toBeUndefined();
    expect(origins.find("s99")?.origin).toEqual(origin);
});

// Guards against streams that are refused by instances which start after the store's return, though their instance lives.
test("an instance records its streams again after the store's return from a copy that lacks them", async () => {
    const { state, start, returnEmpty } = createStore();
    const { origins, ledger } = start("a");
    origins.begin("s1", origin);
    await ledger.record(MODELS);
    state.now += PERIOD_MILLISECONDS;
    returnEmpty();
    expect(start("b").origins.find("s1")).toBeUndefined();
    await ledger.record(MODELS);
    expect(start("c").origins.find("s1")?.origin).toEqual(origin);
});

test("an item of another writer is ignored", async () => {
    const { items, start } = createStore();
    items.set("laburnumslip/streams/a/0", '{"period":0,"origins":[["models"]]}');
    const { origins, ledger } = start("a");
    origins.begin("s1", origin);
    await ledger.record(MODELS);
    expect(start("b").origins.find("s1")?.origin).toEqual(origin);
});

// Guards against memory that grows with the streams of callers.
test("the number of remembered streams is bounded", () => {
    const origins = new StreamOrigins({ now: () => 0 }, LIFETIME_MILLISECONDS);
    for (let stream = 0; stream < 20_000; stream++) {
        origins.begin(`s${stream}`, origin);
    }
    expect(origins.size).toBe(16_384);
    expect(origins.unrecorded(MODELS).size).toBe(16_384);
});
