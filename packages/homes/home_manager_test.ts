import { randomBytes } from "node:crypto";
import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { ConfigurationState, emptyDocument } from "../configuration/mod.ts";
import { Heartbeats } from "../fleet/mod.ts";
import { PortBlock } from "../harness/mod.ts";
import { instanceId, InstancePool, InstanceServer } from "../instances/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { type HomeKey, Membership, selectMembers } from "../membership/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { MemoryStore } from "../stand_ins/mod.ts";
import { HomeManager } from "./mod.ts";

const noopLogger = { info: () => {}, warn: () => {}, error: () => {} };
const GROUPS = Array.from({ length: 12 }, (_, index) => `probe/${index}`);
const SETTLE_ATTEMPTS = 600;
const SETTLE_PAUSE_MILLISECONDS = 25;

/** Records which nodes are active as the home of each key. It sees each activation and relies on no node's own view. */
class ActiveHomes {
    readonly byKey = new Map<string, Set<string>>();
    readonly violations: string[] = [];
    activations = 0;
    handovers = 0;

    recordActivation(key: HomeKey, node: string, handover: unknown): void {
        const nodes = this.byKey.get(key.group) ?? new Set();
        this.byKey.set(key.group, nodes);
        nodes.add(node);
        this.activations++;
        this.handovers += handover === undefined ? 0 : 1;
        if (nodes.size > 1) {
            this.violations.push(`${key.group} is active on ${[...nodes].join(" and ")}`);
        }
    }

    recordDeactivation(key: HomeKey, node: string): void {
        this.byKey.get(key.group)?.delete(node);
    }

    removeNode(node: string): void {
        this.byKey.forEach(nodes => nodes.delete(node));
    }
}

/** The parts of an instance that manage homed state, run in the process of the test. */
class Node {
    readonly membership: Membership;
    readonly id: string;
    readonly #server: InstanceServer;
    readonly #pool: InstancePool;
    readonly #homes: HomeManager;
    readonly #heartbeats: Heartbeats;
    /** Set when the node is killed or has left. Its later activations in this process are not recorded. */
    stopped = false;

    constructor(
        name: string,
        private readonly address: string,
        store: MemoryStore,
        private readonly activeHomes: ActiveHomes,
    ) {
        const self = { name, incarnation: randomBytes(4).toString("hex"), address, failureDomain: "d" };
        this.id = instanceId(self);
        const metrics = new Metrics();
        const invariants = new Invariants(metrics, noopLogger, false);
        this.#server = new InstanceServer(self, "secret", { metrics, logger: noopLogger });
        this.#pool = new InstancePool(self, "secret", metrics, this.#server);
        const configuration = new ConfigurationState(invariants);
        const instanceList = { fetch: async () => ({ isErr: () => true }), close: async () => {} } as never;
        const shared = {
            store,
            pool: this.#pool,
            instanceList,
            metrics,
            logger: noopLogger,
            invariants,
            configuration,
        };
        this.membership = new Membership(self, shared);
        const context = { ...shared, membership: this.membership, server: this.#server };
        this.#heartbeats = new Heartbeats(context);
        const probe = {
            keys: () => GROUPS.map(group => ({ group, index: 0 })),
            activate: (key: HomeKey, handover: unknown) =>
                this.stopped || activeHomes.recordActivation(key, this.id, handover),
            deactivate: (key: HomeKey) => {
                activeHomes.recordDeactivation(key, this.id);
                return { from: this.id };
            },
        };
        this.#homes = new HomeManager([probe as never], context);
        configuration.applySnapshot({ version: 1, document: emptyDocument(), recent: [] });
    }

    async start(): Promise<void> {
        await this.#server.listen(this.address);
        this.membership.start();
        this.#heartbeats.start();
        this.#homes.start();
    }

    /** Stops the node like a killed process: the port closes and nothing is handed over. */
    async kill(): Promise<void> {
        this.stopped = true;
        this.#pool.close();
        await this.#server.close();
        this.activeHomes.removeNode(this.id);
        await this.#stopTasks();
    }

    // Acts like a suspended process: the node adopts no new membership record and stays active for its keys.
    suspend(): () => void {
        const adopt = this.membership.adopt.bind(this.membership);
        this.membership.adopt = () => {};
        return () => {
            this.membership.adopt = adopt;
        };
    }

    async leave(): Promise<void> {
        await this.#homes.releaseAll();
        await this.membership.leave();
        await this.#homes.sendHandovers();
        this.stopped = true;
        await this.#stopTasks();
        this.#pool.close();
        await this.#server.close();
    }

    async #stopTasks(): Promise<void> {
        await Promise.all([this.membership.close(), this.#heartbeats.close(), this.#homes.close()]);
    }
}

async function waitUntilSettled(nodes: Node[], activeHomes: ActiveHomes): Promise<boolean> {
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
        const allJoined = nodes.every(node => node.membership.record.members.length === nodes.length);
        const allActive = GROUPS.every(group => activeHomes.byKey.get(group)?.size === 1);
        if (allJoined && allActive) {
            return true;
        }
        await sleep(SETTLE_PAUSE_MILLISECONDS);
    }
    return false;
}

test.each([1, 2, 3, 4])("no key has two homes while nodes join, leave and are killed (seed %i)", async seed => {
    const random = new RandomSource(seed);
    let storeFaults = 0;
    const store = new MemoryStore(kind => {
        const faulty = kind === "write" && random.chance(0.2);
        storeFaults += faulty ? 1 : 0;
        return faulty ? random.pick(["answer-lost", "refused"] as const) : "answered";
    });
    const activeHomes = new ActiveHomes();
    const nodes: Node[] = [];
    const ports = await PortBlock.reserve();
    const add = async () => {
        const port = ports.next();
        const node = new Node(`node-${port}`, `127.0.0.1:${port}`, store, activeHomes);
        await node.start();
        nodes.push(node);
    };
    await Promise.all([add(), add(), add(), add()]);
    expect(await waitUntilSettled(nodes, activeHomes)).toBe(true);
    for (let step = 0; step < 10; step++) {
        const events = [random.next(), random.next()];
        await Promise.all(events.map(async event => {
            if (event < 0.4 && nodes.length < 7) {
                await add();
            }
            else if (nodes.length > 2) {
                const [node] = nodes.splice(random.integer(0, nodes.length - 1), 1);
                await (event < 0.7 ? node?.kill() : node?.leave());
            }
        }));
        await sleep(random.integer(0, 400));
    }
    const settled = await waitUntilSettled(nodes, activeHomes);
    await Promise.all(nodes.map(node => node.kill()));
    await ports.close();
    expect(activeHomes.violations).toEqual([]);
    expect(settled).toBe(true);
    expect(activeHomes.activations).toBeGreaterThan(GROUPS.length);
    expect(storeFaults).toBeGreaterThan(0);
});

test("a key whose home is suspended is not taken over until that home has released it", async () => {
    const store = new MemoryStore(() => "answered");
    const activeHomes = new ActiveHomes();
    const ports = await PortBlock.reserve();
    // Homes depend on names: of these nodes, the first one has eight keys, of which five move to the last two.
    const create = (name: string) => new Node(name, `127.0.0.1:${ports.next()}`, store, activeHomes);
    const nodes = [create("node-1"), create("node-2")];
    await Promise.all(nodes.map(node => node.start()));
    expect(await waitUntilSettled(nodes, activeHomes)).toBe(true);
    const resume = nodes[0]!.suspend();
    const keysBefore = [...activeHomes.byKey.values()].filter(nodeIds => nodeIds.has(nodes[0]!.id)).length;
    nodes.push(create("node-3"), create("node-4"));
    await Promise.all(nodes.slice(2).map(node => node.start()));
    await sleep(1_500);
    const keysWhileSuspended = [...activeHomes.byKey.values()].filter(nodeIds => nodeIds.has(nodes[0]!.id)).length;
    expect(keysWhileSuspended).toBe(keysBefore);
    resume();
    const settled = await waitUntilSettled(nodes, activeHomes);
    const keysAfter = [...activeHomes.byKey.values()].filter(nodeIds => nodeIds.has(nodes[0]!.id)).length;
    await Promise.all(nodes.map(node => node.kill()));
    await ports.close();
    expect(activeHomes.violations).toEqual([]);
    expect(settled).toBe(true);
    expect(keysAfter).toBeLessThan(keysBefore);
});

test("homes spread over the members, and only those of a member that leaves move", () => {
    const members = Array.from({ length: 9 }, (_, index) => `instance-${index}/x`);
    const groups = Array.from({ length: 900 }, (_, index) => `server/decode-${index}`);
    const home = (ids: string[], group: string) => selectMembers(ids, group, 1)[0];
    const counts = new Map<string | undefined, number>();
    groups.forEach(group => counts.set(home(members, group), (counts.get(home(members, group)) ?? 0) + 1));
    expect(Math.min(...counts.values())).toBeGreaterThan(60);
    expect(Math.max(...counts.values())).toBeLessThan(140);
    const remaining = members.slice(1);
    const moved = groups.filter(group => home(members, group) !== home(remaining, group));
    expect(moved.every(group => home(members, group) === members[0])).toBe(true);
});

test("the keys of one group have different homes while there are enough members", () => {
    const members = ["a/1", "b/1", "c/1", "d/1"];
    for (let index = 0; index < 200; index++) {
        expect(new Set(selectMembers(members, `organisation/${index}`, 3)).size).toBe(3);
    }
    expect(selectMembers(["a/1"], "organisation/x", 3)).toEqual(["a/1", "a/1", "a/1"]);
});
