import { err, ok } from "neverthrow";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import type { ConditionalWrite } from "../coordination/mod.ts";
import { Directory, type RegisteredServer, type RolloutOrder } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { ItemReplica, type StoredItem } from "../replica/mod.ts";
import type { RolloutState, RolloutStatus } from "../rollouts/mod.ts";
import { StoreFailure } from "../store/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { RolloutDecider } from "./rollout_decider.ts";
import { ServiceRollouts } from "./service_rollouts.ts";

const SERVICE = "orders";
const ROUTE = "status";
const STATE_KEY = "laburnumslip/rollouts/orders";
const ERA_ITEM: StoredItem = { key: "laburnumslip/era", value: "1", era: 1, revision: 1 };
const ORDER: RolloutOrder = { id: "7", service: SERVICE, version: "v2", durationMilliseconds: 12_000 };
const STEP_MILLISECONDS = 50;
const ANSWER_MILLISECONDS = 20;

/** Items that several instances read and write. */
class TestStore {
    items = new Map<string, StoredItem>([[ERA_ITEM.key, ERA_ITEM]]);
    era = 1;
    revision = 1;
    mode: "open" | "away" | "late" = "open";
    /** Writes that will arrive later. */
    late: ConditionalWrite[][] = [];
    readonly statuses: string[] = [];

    write(writes: ConditionalWrite[]) {
        if (this.mode !== "open") {
            if (this.mode === "late") {
                this.late.push(writes);
            }
            return err(new StoreFailure("may-have-run", "No answer"));
        }
        const isRefused = writes.some(({ key, isNew, unchangedSince }) => {
            const revision = this.items.get(key)?.revision;
            return isNew && revision !== undefined || unchangedSince && unchangedSince.revision !== revision;
        });
        if (isRefused) {
            return ok({ kind: "conflict" as const });
        }
        this.revision++;
        for (const { key, value } of writes) {
            this.items.set(key, { key, value, era: this.era, revision: this.revision });
            if (key === "status") {
                this.statuses.push(value);
            }
        }
        return ok({ kind: "stored" as const, position: { era: this.era, revision: this.revision } });
    }
}

let store: TestStore;
let instances: Instance[];

/** An instance that may be the leader. */
class Instance {
    readonly directory = new Directory();
    readonly replica = new ItemReplica();
    readonly rollouts: ServiceRollouts;
    readonly decider: RolloutDecider;
    isLeader = false;
    isCutOff = false;

    constructor() {
        const shared = {
            directory: this.directory,
            replica: this.replica,
            clock: new SuspensionAwareClock(),
            settings: () => ({ bounds: { exposureShare: 0.1, exposureSlack: 0 } }) as GatewaySettings,
            instanceCount: () => 2,
            metrics: new Metrics(),
            logger: createLogger("test", new PassThrough().resume()),
        };
        this.rollouts = new ServiceRollouts({
            ...shared,
            self: { name: `i-${instances.length}`, incarnation: "a" },
            isInOtherCell: () => false,
            firstStart: true,
            draw: () => 0.5,
        });
        const context = {
            ...shared,
            rollouts: this.rollouts,
            availability: { usableServers: (service: string) => this.directory.usableServers(service) },
            encodeRolloutStatus: ({ state }: RolloutStatus) => ({ key: "status", value: state }),
        } as unknown as GatewayContext;
        const leadership = { fence: () => this.isLeader ? 1 : undefined };
        const writer = { write: async (writes: ConditionalWrite[]) => store.write(writes) };
        this.decider = new RolloutDecider(context, leadership, writer, this.replica);
        this.register("old", "v1");
        this.register("new", "v2");
        this.read();
        this.directory.apply({ kind: "rollout-ordered", order: ORDER });
    }

    register(id: string, softwareVersion: string): void {
        const server = { id, softwareVersion, service: SERVICE, slots: 6, startedAt: 1 } as RegisteredServer;
        this.directory.apply({ kind: "server", server: { ...server, leaving: false, coldMilliseconds: 0 } });
    }

    read(): void {
        if (!this.isCutOff && store.mode !== "away") {
            const { era, revision } = store;
            // The platform's adapter gives an item the era in which it was read.
            const items = [...store.items.values()].map(item => ({ ...item, era }));
            this.replica.replace({ items, era, revision }, performance.now());
        }
    }

    // Sends requests and returns the ids of their servers; those of the new version fail or not.
    send(count: number, fails = false): string[] {
        return Array.from({ length: count }, () => {
            const [server] = this.rollouts.select(SERVICE, ROUTE, this.directory.usableServers(SERVICE));
            this.rollouts.count(server!, ROUTE);
            const hasFailed = fails && server!.id === "new";
            this.rollouts.record(server!, ROUTE, hasFailed ? undefined : ANSWER_MILLISECONDS);
            return server!.id;
        });
    }

    get phase(): string | undefined {
        return this.rollouts.rollouts.get(SERVICE)?.phase;
    }
}

beforeEach(() => {
    vi.useFakeTimers();
    store = new TestStore();
    instances = [];
    instances.push(new Instance());
    instances.push(new Instance());
    instances[0]!.isLeader = true;
});

afterEach(async () => {
    await Promise.all(instances.map(({ decider }) => decider.close()));
    vi.useRealTimers();
});

/** Lets time pass, in which every instance sends requests; returns how many of these went to the new version. */
async function pass(milliseconds: number, fails = false): Promise<{ exposed: number; requests: number; }> {
    const sent: string[] = [];
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
        instances.forEach(instance => sent.push(...instance.send(1, fails)));
        await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
        instances.forEach(instance => instance.read());
        shareOutcomes();
    }
    return { exposed: sent.filter(id => id === "new").length, requests: sent.length };
}

function shareOutcomes(): void {
    instances.forEach((instance, index) => {
        const peers = instances.filter(other => other !== instance && !other.isCutOff && !instance.isCutOff);
        peers.forEach(peer =>
            peer.rollouts.usage.recordPeerReport(`i-${index}`, "a", instance.rollouts.usage.report())
        );
    });
}

function storedState(): RolloutState {
    return JSON.parse(store.items.get(STATE_KEY)?.value ?? "{}") as RolloutState;
}

/** Builds with what they make of a state; former ones name no era. */
const BUILDS: [string, () => void][] = [["this build", () => {}], ["a former build", () => {
    store.items.get(STATE_KEY)!.value = JSON.stringify({ ...storedState(), era: undefined });
}]];

test("a good version is completed, with a bounded share until it moves", async () => {
    const { exposed, requests } = await pass(6_000);
    expect(exposed).toBeGreaterThan(0);
    expect(exposed).toBeLessThanOrEqual(requests * 0.1);
    await pass(6_000);
    expect(store.statuses.at(-1)).toBe("completed");
    expect(instances.map(instance => instance.send(9))).toEqual(instances.map(() => Array(9).fill("new")));
});

test("without a decision the new version gets nothing", async () => {
    instances[0]!.isLeader = false;
    expect((await pass(6_000)).exposed).toBe(0);
});

test("instances stop sending to a version that fails although no decision can be written", async () => {
    await pass(1_000);
    store.mode = "away";
    expect((await pass(11_000, true)).exposed).toBeLessThan(12);
    expect(instances.map(({ rollouts }) => rollouts.rollouts.get(SERVICE)?.isStopped)).toEqual([true, true]);
    store.mode = "open";
    await pass(500);
    expect(store.statuses.at(-1)).toBe("rolled-back");
});

test.each([["trial", 1_000], ["probe", 6_500], ["move", 9_500]])(
    "another instance goes on with a roll-out whose decider is lost in its %s",
    async (phase, milliseconds) => {
        await pass(milliseconds);
        expect(storedState().phase).toBe(phase);
        instances[0]!.isLeader = false;
        instances[0]!.isCutOff = true;
        await pass(500);
        instances[1]!.isLeader = true;
        await pass(12_000 - 500 - milliseconds);
        expect(store.statuses.at(-1)).toBe("completed");
        // Without contact, an instance keeps to the share, whatever has been decided since.
        expect(instances[0]!.send(20).filter(id => id === "new").length).toBeLessThanOrEqual(2);
    },
);

// Guards against a roll-out that begins anew at each instance of a newer build while a former one decides.
test.each(BUILDS)("an instance that starts during a roll-out takes it up from %s", async (_build, alterState) => {
    await pass(9_500);
    alterState();
    instances.push(new Instance());
    instances[2]!.read();
    expect(instances[2]!.phase).toBe("move");
    expect(instances[2]!.rollouts.rollouts.get(SERVICE)!.elapsed(performance.now())).toBeGreaterThanOrEqual(9_400);
});

test("a write that arrives late does not bring back an earlier phase", async () => {
    store.mode = "late";
    await pass(300);
    expect(store.late.length).toBeGreaterThan(0);
    store.mode = "open";
    await pass(1_000, true);
    await pass(5_000, true);
    expect(store.statuses.at(-1)).toBe("rolled-back");
    expect(store.late.map(writes => store.write(writes).map(({ kind }) => kind).unwrapOr("failed")))
        .toEqual(store.late.map(() => "conflict"));
    expect(storedState().phase).toBe("rolled-back");
});

test("an instance keeps the later phase when the store comes back from an older copy", async () => {
    await pass(1_000);
    const copy = new Map(store.items);
    await pass(11_000);
    expect(instances[1]!.phase).toBe("completed");
    store.items = copy;
    store.era++;
    await pass(1_000);
    expect(instances.map(({ phase }) => phase)).toEqual(["completed", "completed"]);
    expect(instances[1]!.send(3)).toEqual(["new", "new", "new"]);
});

// Guards against a status that never ends, and instances that start later and know only the copy.
test.each([[0, "the leader"], [1, "another instance, without a leader"]])(
    "instance %i writes again what a copy of the store lacks: %s",
    async index => {
        await pass(9_500);
        const copy = new Map(store.items);
        await pass(2_500);
        expect(storedState().phase).toBe("completed");
        store.items = copy;
        store.era++;
        instances.forEach((instance, other) => instance.isLeader &&= index === other);
        await pass(2_000);
        expect(storedState()).toMatchObject({ phase: "completed", era: 2 });
        expect(store.statuses.at(-1)).toBe("completed");
        const written = store.revision;
        await pass(2_000);
        expect(store.revision).toBe(written);
    },
);

// Guards against the copy's phase taken for the last one: a roll-back may have followed a move, and an end a trial.
test.each(BUILDS)("a new instance does not go on from a copy's phase of %s", async (_build, alterState) => {
    await pass(9_500);
    expect(storedState().phase).toBe("move");
    alterState();
    const copied = store.items.get(STATE_KEY);
    store.era++;
    await Promise.all(instances.map(({ decider }) => decider.close()));
    instances = [new Instance()];
    instances[0]!.isLeader = true;
    expect((await pass(1_900)).exposed).toBe(0);
    expect(store.items.get(STATE_KEY)).toBe(copied);
    await pass(600);
    expect(storedState()).toMatchObject({ phase: "trial", era: 2 });
    await pass(12_000);
    expect(store.statuses.at(-1)).toBe("completed");
});

test("an order that replaces one leaves the former version without requests", async () => {
    await pass(1_000);
    instances.forEach(({ directory }) =>
        directory.apply({ kind: "rollout-ordered", order: { ...ORDER, id: "8", version: "v3" } })
    );
    instances.forEach(instance => instance.register("newest", "v3"));
    expect((await pass(3_000)).exposed).toBe(0);
    await pass(9_000);
    expect(instances[0]!.send(3)).toEqual(["newest", "newest", "newest"]);
});
