import fc from "fast-check";
import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { MemoryStore } from "../stand_ins/mod.ts";
import { onceRecordKey, OnceShard } from "./mod.ts";

const KEYS = ["a", "b"].map(name => onceRecordKey("north", "orders", name));
const STORE_OUTCOMES = [
    "answered",
    "answered",
    "answered",
    "refused",
    "answer-lost",
    "answer-lost-write-late",
] as const;

const action = fc.oneof(
    fc.record({ kind: fc.constant("begin" as const), home: fc.nat(1), key: fc.nat(1), wait: fc.boolean() }),
    fc.record({
        kind: fc.constant("finish" as const),
        home: fc.nat(1),
        begunIndex: fc.nat(10),
        state: fc.constantFrom("finished" as const, "unknown" as const),
        wait: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("late" as const) }),
);

test("at most one attempt per key may send its call, with two homes and a store that loses responses", async () => {
    let begun = 0;
    let lostResponses = 0;
    await fc.assert(
        fc.asyncProperty(
            fc.array(action, { minLength: 4, maxLength: 20 }),
            fc.array(fc.constantFrom(...STORE_OUTCOMES), { minLength: 1, maxLength: 60 }),
            async (actions, storeOutcomes) => {
                let storeCalls = 0;
                const store = new MemoryStore(kind => {
                    const outcome = storeOutcomes[storeCalls++ % storeOutcomes.length] ?? "answered";
                    lostResponses += outcome.startsWith("answer-lost") ? 1 : 0;
                    return kind === "read" && outcome !== "refused" ? "answered" : outcome;
                });
                const options = { commitDeadlineMilliseconds: 60 };
                const homes = [new OnceShard(store, "once/0", options), new OnceShard(store, "once/0", options)];
                const attemptsByKey = new Map<string, string[]>();
                const pendingCalls: Promise<unknown>[] = [];
                for (const [index, step] of actions.entries()) {
                    if (step.kind === "late") {
                        store.applyLateWrites();
                        continue;
                    }
                    const home = homes[step.home]!;
                    if (step.kind === "begin") {
                        const key = KEYS[step.key]!;
                        const attempt = `attempt-${index}`;
                        pendingCalls.push(
                            home.begin({ key, attempt, fingerprint: "f", owner: "x/1" }).then(result => {
                                if (result.kind === "begun") {
                                    begun++;
                                    attemptsByKey.set(key, [...attemptsByKey.get(key) ?? [], attempt]);
                                }
                            }),
                        );
                    }
                    else {
                        const [key, attempts] = [...attemptsByKey][step.begunIndex % Math.max(1, attemptsByKey.size)]
                            ?? [];
                        if (key !== undefined && attempts) {
                            pendingCalls.push(home.finish({ key, attempt: attempts[0]!, state: step.state }));
                        }
                    }
                    if (step.wait) {
                        await Promise.all(pendingCalls);
                    }
                }
                await Promise.all(pendingCalls);
                store.applyLateWrites();
                for (const attempts of attemptsByKey.values()) {
                    expect(attempts).toHaveLength(1);
                }
            },
        ),
        { seed: 3, numRuns: 150 },
    );
    expect(begun).toBeGreaterThan(50);
    expect(lostResponses).toBeGreaterThan(50);
});

test("concurrent calls share a commit, and calls that arrive during it share the next one", async () => {
    let writes = 0;
    const store = new MemoryStore(kind => {
        writes += kind === "write" ? 1 : 0;
        return "answered";
    });
    const shard = new OnceShard(store, "once/0");
    const begin = (index: number) => {
        const key = onceRecordKey("north", "orders", `order-${index}`);
        return shard.begin({ key, attempt: `attempt-${index}`, fingerprint: "f", owner: "x/1" });
    };
    const first = Array.from({ length: 50 }, (_, index) => begin(index));
    await Promise.resolve();
    await Promise.resolve();
    const second = Array.from({ length: 50 }, (_, index) => begin(50 + index));
    const results = await Promise.all([...first, ...second]);
    expect(results.every(({ kind }) => kind === "begun")).toBe(true);
    expect(writes).toBe(2);
});

test("an outcome recorded at another home than the intent is stored", async () => {
    const store = new MemoryStore(() => "answered");
    const [first, second] = [new OnceShard(store, "once/0"), new OnceShard(store, "once/0")];
    const key = KEYS[0]!;
    // The second home has the shard in its cache before the intent is written.
    await second!.begin({ key: KEYS[1]!, attempt: "other", fingerprint: "f", owner: "x/1" });
    await first!.begin({ key, attempt: "a", fingerprint: "f", owner: "x/1" });
    const answer = { status: 200, headers: {}, body: "" };
    expect(await second!.finish({ key, attempt: "a", state: "finished", answer })).toBe(true);
    const again = await first!.begin({ key, attempt: "b", fingerprint: "f", owner: "x/1" });
    expect(again).toMatchObject({ kind: "exists" });
    const third = new OnceShard(store, "once/0");
    expect(await third.begin({ key, attempt: "c", fingerprint: "f", owner: "x/1" }))
        .toMatchObject({ kind: "exists", record: { state: "finished", answer } });
});

test("a home that is called repeatedly sees an outcome recorded at another home", async () => {
    const store = new MemoryStore(() => "answered");
    const [polled, other] = [new OnceShard(store, "once/0"), new OnceShard(store, "once/0")];
    const key = KEYS[0]!;
    await polled!.begin({ key, attempt: "a", fingerprint: "f", owner: "x/1" });
    await other!.finish({ key, attempt: "a", state: "finished" });
    let state = "";
    for (let poll = 0; poll < 60 && state !== "finished"; poll++) {
        const result = await polled!.begin({ key, attempt: "b", fingerprint: "f", owner: "x/1" });
        state = result.kind === "exists" ? result.record.state : result.kind;
        await sleep(50);
    }
    expect(state).toBe("finished");
});

test("withdrawing an intent supersedes the intent's own write that is still in transit", async () => {
    const storeOutcomes = ["answer-lost-write-late", "refused"];
    const store = new MemoryStore(kind =>
        kind === "write" ? (storeOutcomes.shift() as "refused") ?? "answered" : "answered"
    );
    const shard = new OnceShard(store, "once/0", { commitDeadlineMilliseconds: 15 });
    const key = KEYS[0]!;
    expect(await shard.begin({ key, attempt: "a", fingerprint: "f", owner: "x/1" })).toEqual({ kind: "unavailable" });
    let withdrawn = false;
    for (let attempt = 0; attempt < 20 && !withdrawn; attempt++) {
        withdrawn = await shard.finish({ key, attempt: "a", state: "withdrawn" });
    }
    store.applyLateWrites();
    const fresh = new OnceShard(store, "once/0");
    expect(await fresh.begin({ key, attempt: "b", fingerprint: "f", owner: "x/1" })).toEqual({ kind: "begun" });
});

test("records expire by age, and a full shard rejects new records", async () => {
    let now = 0;
    const store = new MemoryStore(() => "answered");
    const shard = new OnceShard(store, "once/0", { now: () => now });
    const begin = (index: number, attempt: string) => {
        const key = onceRecordKey("north", "orders", `order-${index}`);
        return shard.begin({ key, attempt, fingerprint: "f".repeat(64), owner: "x/1" });
    };
    let index = 0;
    let last = await begin(index, "a");
    while (last.kind === "begun" && index < 10_000) {
        const results = await Promise.all(Array.from({ length: 40 }, () => begin(++index, "a")));
        last = results.at(-1)!;
    }
    expect(last).toEqual({ kind: "full" });
    now = 25 * 3_600_000;
    expect(await begin(0, "b")).toEqual({ kind: "begun" });
});

// Guards against calls that are never answered since a value of another writer cannot be read as a shard.
test("calls to a shard whose stored value is another writer's are answered, also once it is gone", async () => {
    const store = new MemoryStore(() => "answered");
    const shard = new OnceShard(store, "once/0", { commitDeadlineMilliseconds: 60 });
    const key = KEYS[0] ?? "";
    const call = { key, attempt: "1", fingerprint: "f", owner: "instance-1/1" };
    await store.compareAndSwap("once/0", { era: 0, revision: 0 }, { records: "none" });
    expect(await Promise.all([shard.begin(call), shard.begin({ ...call, attempt: "2" })])).toEqual([
        { kind: "unavailable" },
        { kind: "unavailable" },
    ]);
    expect(await shard.finish({ key, attempt: "1", state: "finished" })).toBe(false);
    await store.compareAndSwap("once/0", { era: 0, revision: 1 }, { records: {}, era: 0 });
    expect(await shard.begin(call)).toEqual({ kind: "begun" });
});
