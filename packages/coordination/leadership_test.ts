import { err, ok } from "neverthrow";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { ItemReplica } from "../replica/mod.ts";
import { StoreFailure } from "../store/mod.ts";
import type { CoordinationStore } from "./coordination_store.ts";
import { Leadership } from "./leadership.ts";
import type { StoreLease } from "./store_lease.ts";

const LEASE_MILLISECONDS = 3_000;
const KEY = "leader";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** A store with one item, whose lease ends by itself. */
class LeasedItemStore {
    revision = 1;
    #holder: number | undefined;
    #expiresAt = 0;
    #leases = 0;

    get isHeld(): boolean {
        return this.#holder !== undefined && performance.now() < this.#expiresAt;
    }

    // Connects an instance; its calls fail while it is cut off.
    connect(name: string) {
        const state = { cutOff: false };
        const clock = new SuspensionAwareClock(() => performance.now(), () => performance.now());
        const replica = new ItemReplica();
        const reach = <Value>(call: () => Value) =>
            state.cutOff ? err(new StoreFailure("may-have-run", "The store does not respond")) : ok(call());
        const store = {
            createLease: async () => reach(() => ({ id: ++this.#leases, era: 0 })),
            write: async ([{ lease }]: [{ lease: StoreLease; }]) =>
                reach(() => {
                    if (this.isHeld) {
                        return { kind: "conflict" };
                    }
                    this.#holder = lease.id;
                    this.#expiresAt = performance.now() + LEASE_MILLISECONDS;
                    return { kind: "stored", position: { era: 0, revision: ++this.revision } };
                }),
            renewLease: async ({ id }: StoreLease) =>
                reach(() => {
                    const held = this.isHeld && this.#holder === id;
                    this.#expiresAt = held ? performance.now() + LEASE_MILLISECONDS : this.#expiresAt;
                    return held;
                }),
            revokeLease: async ({ id }: StoreLease) => {
                if (!state.cutOff && this.#holder === id) {
                    this.#holder = undefined;
                }
            },
        } as unknown as CoordinationStore;
        const leadership = new Leadership({
            key: KEY,
            self: name,
            leaseMilliseconds: LEASE_MILLISECONDS,
            isFirstStart: true,
            instanceCount: () => 2,
            store,
            replica,
            clock,
            logger: createLogger(name, new PassThrough().resume()),
        });
        return { state, leadership, replica };
    }
}

function createReplica(): ItemReplica {
    const replica = new ItemReplica();
    replica.replace({ items: [], era: 0, revision: 1 }, 0);
    return replica;
}

/** Lets time pass, shows each instance what the store holds, and returns how many may act in each step. */
async function pass(milliseconds: number, store: LeasedItemStore, instances: ReturnType<LeasedItemStore["connect"]>[]) {
    const acting: number[][] = [];
    for (let passed = 0; passed < milliseconds; passed += 50) {
        await vi.advanceTimersByTimeAsync(50);
        const items = store.isHeld ? [{ key: KEY, value: "{}", era: 0, revision: store.revision }] : [];
        for (const { state, replica } of instances) {
            if (!state.cutOff) {
                replica.replace({ items, era: 0, revision: store.revision }, performance.now());
            }
        }
        store.revision++;
        acting.push(instances.flatMap(({ leadership }) => leadership.fence() ?? []));
    }
    return acting;
}

test("a holder that is cut off across its lease stops before another acts, and orders never come from two at once", async () => {
    const store = new LeasedItemStore();
    const instances = [store.connect("a"), store.connect("b")];
    const before = await pass(8_000, store, instances);
    const [fence] = before.at(-1) ?? [];
    expect(fence).toBeDefined();
    const holder = instances.find(({ leadership }) => leadership.fence() === fence);
    holder!.state.cutOff = true;
    const during = await pass(12_000, store, instances);
    holder!.state.cutOff = false;
    const after = await pass(6_000, store, instances);
    const all = [...before, ...during, ...after];
    expect(Math.max(...all.map(fences => fences.length))).toBe(1);
    const fences = all.flat();
    expect([...fences].sort((left, right) => left - right)).toEqual(fences);
    expect(new Set(fences).size).toBe(2);
    // No order for a whole lease between the last moment of the former holder and the first of the next one.
    const lastOfFormer = all.findLastIndex(([acting]) => acting === fence);
    const firstOfNext = all.findIndex(([acting]) => acting !== undefined && acting !== fence);
    expect((firstOfNext - lastOfFormer) * 50).toBeGreaterThanOrEqual(LEASE_MILLISECONDS);
});

test("a holder that was suspended across its lease may not act when it wakes", async () => {
    const times = { monotonic: 0, wall: 0 };
    const clock = new SuspensionAwareClock(() => times.monotonic, () => times.wall);
    const leadership = new Leadership({
        key: KEY,
        self: "a",
        leaseMilliseconds: LEASE_MILLISECONDS,
        isFirstStart: true,
        instanceCount: () => 1,
        store: {
            createLease: async () => ok({ id: 1, era: 0 }),
            write: async () => ok({ kind: "stored", position: { era: 0, revision: 7 } }),
            renewLease: async () => ok(true),
            revokeLease: async () => {},
        } as unknown as CoordinationStore,
        replica: createReplica(),
        clock,
        logger: createLogger("a", new PassThrough().resume()),
    });
    for (let passed = 0; passed < 6_000; passed += 50) {
        times.monotonic += 50;
        times.wall += 50;
        await vi.advanceTimersByTimeAsync(50);
    }
    expect(leadership.fence()).toBe(7);
    // The monotonic clock stands still while the machine is suspended.
    times.wall += 5_000;
    expect(leadership.fence()).toBeUndefined();
});
