import fc from "fast-check";
import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { MemoryStore } from "../stand_ins/mod.ts";
import { onceRecordKey, OnceShard } from "./mod.ts";

const KEYS = ["a", "b"].map(name => onceRecordKey("north", "orders", name));
const FATES = ["answered", "answered", "answered", "refused", "answer-lost", "answer-lost-write-late"] as const;

const action = fc.oneof(
    fc.record({ kind: fc.constant("begin" as const), home: fc.nat(1), key: fc.nat(1), wait: fc.boolean() }),
    fc.record({
        kind: fc.constant("finish" as const),
        home: fc.nat(1),
        which: fc.nat(10),
        state: fc.constantFrom("finished" as const, "unknown" as const),
        wait: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("late" as const) }),
);

test("at most one attempt for each key may send its call, over two homes and a store that loses answers", async () => {
    let begun = 0;
    let lost = 0;
    await fc.assert(
        fc.asyncProperty(
            fc.array(action, { minLength: 4, maxLength: 20 }),
            fc.array(fc.constantFrom(...FATES), { minLength: 1, maxLength: 60 }),
            async (actions, fates) => {
                let call = 0;
                const store = new MemoryStore(kind => {
                    const fate = fates[call++ % fates.length] ?? "answered";
                    lost += fate.startsWith("answer-lost") ? 1 : 0;
                    return kind === "read" && fate !== "refused" ? "answered" : fate;
                });
                const options = { commitDeadlineMilliseconds: 60 };
                const homes = [new OnceShard(store, "once/0", options), new OnceShard(store, "once/0", options)];
                const senders = new Map<string, string[]>();
                const running: Promise<unknown>[] = [];
                for (const [index, step] of actions.entries()) {
                    if (step.kind === "late") {
                        store.applyLateWrites();
                        continue;
                    }
                    const home = homes[step.home]!;
                    if (step.kind === "begin") {
                        const key = KEYS[step.key]!;
                        const attempt = `attempt-${index}`;
                        running.push(
                            home.begin({ key, attempt, fingerprint: "f", owner: "x/1" }).then(answer => {
                                if (answer.kind === "begun") {
                                    begun++;
                                    senders.set(key, [...senders.get(key) ?? [], attempt]);
                                }
                            }),
                        );
                    }
                    else {
                        const [key, attempts] = [...senders][step.which % Math.max(1, senders.size)] ?? [];
                        if (key !== undefined && attempts) {
                            running.push(home.finish({ key, attempt: attempts[0]!, state: step.state }));
                        }
                    }
                    if (step.wait) {
                        await Promise.all(running);
                    }
                }
                await Promise.all(running);
                store.applyLateWrites();
                for (const attempts of senders.values()) {
                    expect(attempts).toHaveLength(1);
                }
            },
        ),
        { seed: 3, numRuns: 150 },
    );
    expect(begun).toBeGreaterThan(50);
    expect(lost).toBeGreaterThan(50);
});

test("calls that come together share a commit, and those that come during it share the next one", async () => {
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
    const answers = await Promise.all([...first, ...second]);
    expect(answers.every(({ kind }) => kind === "begun")).toBe(true);
    expect(writes).toBe(2);
});

test("an outcome recorded at another home than the intent is kept", async () => {
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

test("a home that is asked again and again sees an outcome recorded elsewhere", async () => {
    const store = new MemoryStore(() => "answered");
    const [asked, other] = [new OnceShard(store, "once/0"), new OnceShard(store, "once/0")];
    const key = KEYS[0]!;
    await asked!.begin({ key, attempt: "a", fingerprint: "f", owner: "x/1" });
    await other!.finish({ key, attempt: "a", state: "finished" });
    let state = "";
    for (let poll = 0; poll < 60 && state !== "finished"; poll++) {
        const answer = await asked!.begin({ key, attempt: "b", fingerprint: "f", owner: "x/1" });
        state = answer.kind === "exists" ? answer.record.state : answer.kind;
        await sleep(50);
    }
    expect(state).toBe("finished");
});

test("a withdrawn intent overtakes its own write that is still under way", async () => {
    const fates = ["answer-lost-write-late", "refused"];
    const store = new MemoryStore(kind => kind === "write" ? (fates.shift() as "refused") ?? "answered" : "answered");
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

test("records expire by age and a full shard refuses", async () => {
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
        const answers = await Promise.all(Array.from({ length: 40 }, () => begin(++index, "a")));
        last = answers.at(-1)!;
    }
    expect(last).toEqual({ kind: "full" });
    now = 25 * 3_600_000;
    expect(await begin(0, "b")).toEqual({ kind: "begun" });
});
