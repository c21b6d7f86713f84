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

const silent = { info: () => {}, warn: () => {}, error: () => {} };
const GROUPS = Array.from({ length: 12 }, (_, index) => `probe/${index}`);
const SETTLE_ATTEMPTS = 600;
const SETTLE_PAUSE_MILLISECONDS = 25;

/** Who holds each key over all nodes: the oracle sees it directly, not through the program. */
class Holders {
    readonly byKey = new Map<string, Set<string>>();
    readonly violations: string[] = [];
    activations = 0;
    handovers = 0;

    take(key: HomeKey, node: string, handover: unknown): void {
        const holders = this.byKey.get(key.group) ?? new Set();
        this.byKey.set(key.group, holders);
        holders.add(node);
        this.activations++;
        this.handovers += handover === undefined ? 0 : 1;
        if (holders.size > 1) {
            this.violations.push(`${key.group} is held by ${[...holders].join(" and ")}`);
        }
    }

    drop(key: HomeKey, node: string): void {
        this.byKey.get(key.group)?.delete(node);
    }

    forget(node: string): void {
        this.byKey.forEach(holders => holders.delete(node));
    }
}

/** The parts of an instance that act together as homes, in this process. */
class Node {
    readonly membership: Membership;
    readonly id: string;
    readonly #server: InstanceServer;
    readonly #pool: InstancePool;
    readonly #homes: HomeManager;
    readonly #heartbeats: Heartbeats;
    /** Set when the node is killed: what it still does in this process no longer counts. */
    dead = false;

    constructor(name: string, private readonly address: string, store: MemoryStore, private readonly holders: Holders) {
        const self = { name, incarnation: randomBytes(4).toString("hex"), address, failureDomain: "d" };
        this.id = instanceId(self);
        const metrics = new Metrics();
        const invariants = new Invariants(metrics, silent, false);
        this.#server = new InstanceServer(self, "secret", { metrics, logger: silent });
        this.#pool = new InstancePool(self, "secret", metrics, this.#server);
        const configuration = new ConfigurationState(invariants);
        const instanceList = { fetch: async () => ({ isErr: () => true }), close: async () => {} } as never;
        const shared = { store, pool: this.#pool, instanceList, metrics, logger: silent, invariants, configuration };
        this.membership = new Membership(self, shared);
        const context = { ...shared, membership: this.membership, server: this.#server };
        this.#heartbeats = new Heartbeats(context);
        const probe = {
            keys: () => GROUPS.map(group => ({ group, index: 0 })),
            activate: (key: HomeKey, handover: unknown) => this.dead || holders.take(key, this.id, handover),
            deactivate: (key: HomeKey) => {
                holders.drop(key, this.id);
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

    /** Ends as a killed process does: the port closes and nothing is handed over. */
    async kill(): Promise<void> {
        this.dead = true;
        this.#pool.close();
        await this.#server.close();
        this.holders.forget(this.id);
        await this.#stopTasks();
    }

    // Behaves like a paused process: it learns of nothing new and goes on holding what it held.
    pause(): () => void {
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
        this.dead = true;
        await this.#stopTasks();
        this.#pool.close();
        await this.#server.close();
    }

    async #stopTasks(): Promise<void> {
        await Promise.all([this.membership.close(), this.#heartbeats.close(), this.#homes.close()]);
    }
}

async function settle(nodes: Node[], holders: Holders): Promise<boolean> {
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
        const members = nodes.every(node => node.membership.record.members.length === nodes.length);
        const held = GROUPS.every(group => holders.byKey.get(group)?.size === 1);
        if (members && held) {
            return true;
        }
        await sleep(SETTLE_PAUSE_MILLISECONDS);
    }
    return false;
}

test.each([1, 2, 3, 4])("no key has two homes while nodes join, leave and die (seed %i)", async seed => {
    const random = new RandomSource(seed);
    let losses = 0;
    const store = new MemoryStore(kind => {
        const lost = kind === "write" && random.chance(0.2);
        losses += lost ? 1 : 0;
        return lost ? random.pick(["answer-lost", "refused"] as const) : "answered";
    });
    const holders = new Holders();
    const nodes: Node[] = [];
    const ports = await PortBlock.reserve();
    const add = async () => {
        const port = ports.next();
        const node = new Node(`node-${port}`, `127.0.0.1:${port}`, store, holders);
        await node.start();
        nodes.push(node);
    };
    await Promise.all([add(), add(), add(), add()]);
    expect(await settle(nodes, holders)).toBe(true);
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
    const settled = await settle(nodes, holders);
    await Promise.all(nodes.map(node => node.kill()));
    await ports.close();
    expect(holders.violations).toEqual([]);
    expect(settled).toBe(true);
    expect(holders.activations).toBeGreaterThan(GROUPS.length);
    expect(losses).toBeGreaterThan(0);
});

test("a key whose home is paused is not taken over until that home has let go", async () => {
    const store = new MemoryStore(() => "answered");
    const holders = new Holders();
    const ports = await PortBlock.reserve();
    const create = () => {
        const port = ports.next();
        return new Node(`node-${port}`, `127.0.0.1:${port}`, store, holders);
    };
    const nodes = [create(), create()];
    await Promise.all(nodes.map(node => node.start()));
    expect(await settle(nodes, holders)).toBe(true);
    const resume = nodes[0]!.pause();
    const heldBefore = [...holders.byKey.values()].filter(held => held.has(nodes[0]!.id)).length;
    nodes.push(create(), create());
    await Promise.all(nodes.slice(2).map(node => node.start()));
    await sleep(1_500);
    const heldMeanwhile = [...holders.byKey.values()].filter(held => held.has(nodes[0]!.id)).length;
    expect(heldMeanwhile).toBe(heldBefore);
    resume();
    const settled = await settle(nodes, holders);
    const heldAfter = [...holders.byKey.values()].filter(held => held.has(nodes[0]!.id)).length;
    await Promise.all(nodes.map(node => node.kill()));
    await ports.close();
    expect(holders.violations).toEqual([]);
    expect(settled).toBe(true);
    expect(heldAfter).toBeLessThan(heldBefore);
});

test("homes spread over the members and move little when one leaves", () => {
    const members = Array.from({ length: 9 }, (_, index) => `instance-${index}/x`);
    const groups = Array.from({ length: 900 }, (_, index) => `server/decode-${index}`);
    const home = (ids: string[], group: string) => selectMembers(ids, group, 1)[0];
    const counts = new Map<string | undefined, number>();
    groups.forEach(group => counts.set(home(members, group), (counts.get(home(members, group)) ?? 0) + 1));
    expect(Math.min(...counts.values())).toBeGreaterThan(60);
    expect(Math.max(...counts.values())).toBeLessThan(140);
    const left = members.slice(1);
    const moved = groups.filter(group => home(members, group) !== home(left, group));
    expect(moved.every(group => home(members, group) === members[0])).toBe(true);
});

test("the shares of one organisation have different homes while there are enough members", () => {
    const members = ["a/1", "b/1", "c/1", "d/1"];
    for (let index = 0; index < 200; index++) {
        expect(new Set(selectMembers(members, `organisation/${index}`, 3)).size).toBe(3);
    }
    expect(selectMembers(["a/1"], "organisation/x", 3)).toEqual(["a/1", "a/1", "a/1"]);
});
