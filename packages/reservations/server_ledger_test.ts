import fc from "fast-check";
import { expect, test, vi } from "vitest";
import { FairQueue, HeldReservations, ServerLedger } from "./mod.ts";

const CAPACITY = 10;

function request(id: string, pieces: number, suspect = false, waitMilliseconds = 1_000) {
    return {
        server: "s",
        id,
        organisation: `o${pieces % 3}`,
        pieces,
        priority: 5,
        suspect,
        fingerprint: id,
        waitMilliseconds,
    };
}

const action = fc.oneof(
    fc.record({ kind: fc.constant("reserve" as const), pieces: fc.integer({ min: 1, max: 4 }), suspect: fc.boolean() }),
    fc.record({
        kind: fc.constant("release" as const),
        heldIndex: fc.nat(20),
        outcome: fc.constantFrom("done" as const, "unused" as const, "orphaned" as const),
    }),
    fc.record({ kind: fc.constant("report" as const), restarted: fc.boolean() }),
    fc.record({ kind: fc.constant("fail" as const), down: fc.boolean() }),
    fc.record({ kind: fc.constant("drain" as const), drained: fc.boolean() }),
    fc.record({ kind: fc.constant("pass" as const), milliseconds: fc.integer({ min: 1, max: 1_500 }) }),
);

test("grants never exceed the capacity or the slow start limit, and nothing stays reserved at the end", async () => {
    vi.useFakeTimers({ now: 1_000, toFake: ["setTimeout", "clearTimeout", "performance"] });
    let grants = 0;
    let suspects = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(action, { minLength: 10, maxLength: 80 }), async actions => {
            const ledger = new ServerLedger(CAPACITY, { allowed: CAPACITY, bootId: "0" });
            ledger.open();
            /** Requests that were granted and not yet released, as the test sees them. */
            const held = new Map<string, { pieces: number; suspect: boolean; orphaned: boolean; }>();
            let boot = 0;
            const runPendingCallbacks = () => vi.advanceTimersByTimeAsync(0);
            for (const [index, step] of actions.entries()) {
                if (step.kind === "reserve") {
                    const id = `x/1/${index}`;
                    void ledger.reserve(request(id, step.pieces, step.suspect), 1).then(response => {
                        if (response.granted) {
                            grants++;
                            suspects += step.suspect ? 1 : 0;
                            held.set(id, { pieces: step.pieces, suspect: step.suspect, orphaned: false });
                        }
                    });
                }
                else if (step.kind === "release") {
                    const [id, entry] = [...held][step.heldIndex % Math.max(1, held.size)] ?? [];
                    if (id !== undefined && entry) {
                        ledger.release(id, step.outcome);
                        entry.orphaned = step.outcome === "orphaned";
                        if (!entry.orphaned) {
                            held.delete(id);
                        }
                    }
                }
                else if (step.kind === "report") {
                    boot += step.restarted ? 1 : 0;
                    const running = [...held].filter(([, { orphaned }]) => !orphaned);
                    vi.advanceTimersByTime(1);
                    const report = running.map(([id, { pieces }]) => ({ id, pieces }));
                    ledger.reconcile({ bootId: String(boot), running: report }, performance.now());
                    held.forEach(({ orphaned }, id) => orphaned && held.delete(id));
                }
                else if (step.kind === "fail") {
                    if (step.down) {
                        ledger.markDown();
                    }
                    else {
                        ledger.pause();
                    }
                }
                else if (step.kind === "drain") {
                    ledger.setDrained(step.drained);
                }
                else {
                    await vi.advanceTimersByTimeAsync(step.milliseconds);
                }
                await runPendingCallbacks();
                const pieces = [...held.values()].reduce((sum, entry) => sum + entry.pieces, 0);
                expect(pieces).toBeLessThanOrEqual(CAPACITY);
                expect(ledger.reserved).toBe(pieces);
                expect([...held.values()].filter(({ suspect }) => suspect).length).toBeLessThanOrEqual(1);
            }
            await vi.advanceTimersByTimeAsync(2_000);
            expect(ledger.waiting).toBe(0);
            held.forEach((_, id) => ledger.release(id, "done"));
            expect(ledger.reserved).toBe(0);
        }),
        { seed: 4, numRuns: 1_000 },
    );
    vi.useRealTimers();
    expect(grants).toBeGreaterThan(1_000);
    expect(suspects).toBeGreaterThan(50);
});

test("a restarted server begins with one request, and its former reservations are reported as void", async () => {
    const ledger = new ServerLedger(CAPACITY, { allowed: CAPACITY, bootId: "0" });
    ledger.open();
    const voided: string[] = [];
    ledger.onVoid(ids => voided.push(...ids));
    await ledger.reserve(request("x/1/1", 1), 1);
    ledger.reconcile({ bootId: "1", running: [] }, performance.now());
    expect(voided).toEqual(["x/1/1"]);
    expect(await ledger.reserve(request("x/1/2", 1, false, 0), 1)).toMatchObject({ granted: false, why: "full" });
    ledger.release("x/1/1", "unused");
    expect(await ledger.reserve(request("x/1/2", 1, false, 0), 1)).toMatchObject({ granted: true });
    expect(await ledger.reserve(request("x/1/3", 1, false, 0), 1)).toMatchObject({ granted: false, why: "full" });
});

test("a success right after a restart does not yet raise the slow start limit", async () => {
    const ledger = new ServerLedger(CAPACITY, { allowed: CAPACITY, bootId: "0" });
    ledger.open();
    ledger.reconcile({ bootId: "1", running: [] }, performance.now());
    expect(await ledger.reserve(request("x/1/1", 1, false, 0), 1)).toMatchObject({ granted: true });
    ledger.release("x/1/1", "done");
    expect(await ledger.reserve(request("x/1/2", 1, false, 0), 1)).toMatchObject({ granted: true });
    expect(await ledger.reserve(request("x/1/3", 1, false, 0), 1)).toMatchObject({ granted: false, why: "full" });
});

test("a paused ledger grants nothing until the engine has reported", async () => {
    const ledger = new ServerLedger(CAPACITY, { allowed: CAPACITY, bootId: "0" });
    ledger.open();
    await ledger.reserve(request("x/1/1", 1), 1);
    ledger.pause();
    expect(await ledger.reserve(request("x/1/2", 1, false, 0), 1)).toMatchObject({ granted: false });
    expect(ledger.hasFailedSinceGrant("x/1/1")).toBe(false);
    ledger.reconcile({ bootId: "1", running: [] }, performance.now());
    expect(ledger.hasFailedSinceGrant("x/1/1")).toBe(true);
    ledger.release("x/1/1", "unused");
    expect(await ledger.reserve(request("x/1/2", 1, false, 0), 1)).toMatchObject({ granted: true });
});

test("a suspect that waits for another suspect does not block other requests", async () => {
    const ledger = new ServerLedger(CAPACITY, { allowed: CAPACITY, bootId: "0" });
    ledger.open();
    expect(await ledger.reserve(request("x/1/1", 1, true), 1)).toMatchObject({ granted: true });
    const second = ledger.reserve(request("x/1/2", 1, true), 1);
    expect(await ledger.reserve(request("x/1/3", 1, false, 0), 1)).toMatchObject({ granted: true, waiting: 1 });
    ledger.release("x/1/1", "done");
    expect(await second).toMatchObject({ granted: true });
});

test("a reservation that is only requested is not reported to a new home, and its late grant is void", () => {
    const held = new HeldReservations();
    held.add({ server: "s", id: "asked", organisation: "o", pieces: 1 });
    held.add({ server: "s", id: "granted", organisation: "o", pieces: 1 });
    expect(held.markGranted("granted", "s")).toBe(true);
    expect(held.collectForNewHome(new Set(["s"])).map(({ id }) => id)).toEqual(["granted"]);
    expect(held.markGranted("asked", "s")).toBe(false);
    expect(held.isUsable("granted", "s")).toBe(true);
});

test("a changed capacity applies to the next grant", async () => {
    const ledger = new ServerLedger(2, { allowed: 2, bootId: "0" });
    ledger.open();
    await ledger.reserve(request("x/1/1", 2), 1);
    ledger.setCapacity(4);
    expect(await ledger.reserve(request("x/1/2", 2, false, 0), 1)).toMatchObject({ granted: true });
    ledger.setCapacity(1);
    ledger.release("x/1/1", "done");
    expect(await ledger.reserve(request("x/1/3", 1, false, 0), 1)).toMatchObject({ granted: false });
    expect(await ledger.reserve(request("x/1/4", 2, false, 0), 1)).toMatchObject({ why: "too-large" });
});

test("queued organisations are served by their weights within a priority", () => {
    const queue = new FairQueue();
    const item = (organisation: string, weight: number, priority = 5) => ({ organisation, weight, priority, cost: 1 });
    for (let index = 0; index < 30; index++) {
        queue.push(item("flood", 1));
    }
    for (let index = 0; index < 6; index++) {
        queue.push(item("heavy", 2));
        queue.push(item("light", 1));
    }
    queue.push(item("urgent", 1, 9));
    expect(queue.shift()?.organisation).toBe("urgent");
    const first = Array.from({ length: 12 }, () => queue.shift()?.organisation);
    expect(first.filter(name => name === "heavy")).toHaveLength(6);
    expect(first.filter(name => name === "light")).toHaveLength(3);
    expect(first.filter(name => name === "flood")).toHaveLength(3);
});
