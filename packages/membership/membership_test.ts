import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { expect, onTestFinished, test } from "vitest";
import * as z from "zod";
import { sleep } from "../clocks/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import { ConfigurationFollower, Heartbeats } from "../fleet/mod.ts";
import { PortBlock } from "../harness/mod.ts";
import type { ListedInstance } from "../instance_list/mod.ts";
import { InstancePool, InstanceServer } from "../instances/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { StoreStandIn } from "../stand_ins/mod.ts";
import { HttpStore } from "../store/mod.ts";
import { Membership, type MembershipRecord } from "./mod.ts";

const noopLogger = { info: () => {}, warn: () => {}, error: () => {} };
const SETTLE_MILLISECONDS = 8_000;
const POLL_MILLISECONDS = 20;
/** Shorter than half of the time between two reads of the platform's list. */
const LIST_LAG_MILLISECONDS = 500;
/** Time for at least two reads of the list. */
const TWO_READS_MILLISECONDS = 11_000;

/** The parts of an instance that keep the membership record. */
class Node {
    readonly membership: Membership;
    readonly #server: InstanceServer;
    readonly #follower: ConfigurationFollower;
    readonly #heartbeats: Heartbeats;
    /** Whether the node tells others its record. */
    responding = true;

    constructor(
        name: string,
        private readonly address: string,
        storeAddress: string,
        fetchList: () => Promise<Result<ListedInstance[], string>>,
    ) {
        const self = { name, incarnation: randomBytes(4).toString("hex"), address, failureDomain: "d" };
        const metrics = new Metrics();
        const invariants = new Invariants(metrics, noopLogger, false);
        const store = new HttpStore(storeAddress);
        this.#server = new InstanceServer(self, "secret", { metrics, logger: noopLogger });
        const pool = new InstancePool(self, "secret", metrics, this.#server);
        const configuration = new ConfigurationState(invariants);
        const instanceList = { fetch: fetchList, close: async () => {} };
        const listLagMilliseconds = LIST_LAG_MILLISECONDS;
        const base = { store, pool, instanceList, metrics, logger: noopLogger, invariants, listLagMilliseconds };
        const shared = { ...base, configuration };
        this.membership = new Membership(self, shared);
        const context = { ...shared, membership: this.membership, server: this.#server };
        this.#heartbeats = new Heartbeats(context);
        this.#server.handle(
            "membership.record",
            z.object({}),
            async () => this.responding ? this.membership.record : await new Promise<never>(() => {}),
        );
        this.#follower = new ConfigurationFollower({ ...context, heartbeats: this.#heartbeats });
        onTestFinished(async () => {
            await this.close();
            pool.close();
            await store.close();
        });
    }

    async close(): Promise<void> {
        await Promise.all([this.#follower.close(), this.#heartbeats.close(), this.membership.close()]);
        await this.#server.close();
    }

    async start(followsStore: boolean): Promise<void> {
        await this.#server.listen(this.address);
        this.membership.start();
        this.#heartbeats.start();
        if (followsStore) {
            this.#follower.start();
        }
    }

    get names(): string[] {
        return this.membership.record.members.map(({ name }) => name).sort();
    }
}

class Fleet {
    /** Whether the platform's list can be read. */
    isListed = true;
    readonly #listed: ListedInstance[] = [];

    private constructor(readonly standIn: StoreStandIn, private readonly ports: PortBlock) {}

    static async begin(): Promise<Fleet> {
        const ports = await PortBlock.reserve();
        onTestFinished(() => ports.close());
        const standIn = new StoreStandIn(`127.0.0.1:${ports.next()}`);
        await standIn.listen();
        onTestFinished(() => standIn.close());
        return new Fleet(standIn, ports);
    }

    /**
     * Starts a node.
     *
     * @param name Its name.
     * @param followsStore Whether it notices that the store has come back.
     * @returns The node.
     */
    async start(name: string, followsStore: boolean): Promise<Node> {
        const address = `127.0.0.1:${this.ports.next()}`;
        this.#listed.push({ name, address, state: "live" });
        const fetchList = async () => this.isListed ? ok(this.#listed) : err("No answer");
        const node = new Node(name, address, this.standIn.address, fetchList);
        await node.start(followsStore);
        return node;
    }

    /**
     * Removes an instance from the platform's list.
     *
     * @param name Its name.
     */
    unlist(name: string): void {
        this.#listed.splice(this.#listed.findIndex(instance => instance.name === name), 1);
    }

    get stored(): MembershipRecord {
        return this.standIn.copy().get("epoch")!.value as MembershipRecord;
    }
}

async function waitFor(isReached: () => boolean): Promise<void> {
    const deadline = performance.now() + SETTLE_MILLISECONDS;
    while (!isReached() && performance.now() < deadline) {
        await sleep(POLL_MILLISECONDS);
    }
    expect(isReached()).toBe(true);
}

/** Starts two members; the store returns to a copy from before the second one joined. */
async function startWithLostMember(followsStore: boolean) {
    const fleet = await Fleet.begin();
    const first = await fleet.start("a", followsStore);
    await waitFor(() => first.membership.isMember);
    const copy = fleet.standIn.copy();
    const second = await fleet.start("b", followsStore);
    await waitFor(() => first.names.length === 2 && second.names.length === 2);
    const { epoch } = first.membership.record;
    fleet.standIn.restore(copy);
    return { fleet, first, second, copy, epoch };
}

function expectOneRecord(fleet: Fleet, nodes: Node[]): void {
    const records = [fleet.stored, ...nodes.map(({ membership }) => membership.record)];
    expect(new Set(records.map(record => JSON.stringify(record))).size).toBe(1);
}

// Guards against a member that the store has lost for good, although the fleet knows it.
test("members write a record that the store has lost again, at a higher epoch, after each return", async () => {
    const { fleet, first, second, copy, epoch } = await startWithLostMember(true);
    const nodes = [first, second];
    await waitFor(() => nodes.every(({ membership }) => membership.record.epoch > epoch));
    expectOneRecord(fleet, nodes);
    fleet.standIn.restore(copy);
    await waitFor(() => nodes.every(({ membership }) => membership.record.epoch > epoch + 1));
    expectOneRecord(fleet, nodes);
    expect(first.names).toEqual(["a", "b"]);
});

// Guards against two records with one number: that of an instance which joins by the copy, and that of the members.
test("an instance that joins after the return keeps the members that the copy lacks", async () => {
    const { fleet, first, second, epoch } = await startWithLostMember(false);
    const third = await fleet.start("c", true);
    const nodes = [first, second, third];
    await waitFor(() => nodes.every(({ names }) => names.length === 3));
    expectOneRecord(fleet, nodes);
    expect(fleet.stored.epoch).toBe(epoch + 1);
    expect(fleet.stored.history.map(entry => entry.members.length)).toContain(2);
});

// Guards against an instance that joins by the copy while a member that knows a later epoch cannot be asked.
test("an instance that joins after the return waits for a member that does not respond", async () => {
    const { fleet, first, second, epoch } = await startWithLostMember(false);
    first.responding = false;
    const copied = fleet.stored;
    const third = await fleet.start("c", true);
    await sleep(2_000);
    expect(fleet.stored).toEqual(copied);
    expect(third.membership.isMember).toBe(false);
    first.responding = true;
    const nodes = [first, second, third];
    await waitFor(() => nodes.every(({ names }) => names.length === 3));
    expectOneRecord(fleet, nodes);
    expect(fleet.stored.epoch).toBe(epoch + 1);
});

// Guards against an instance that joins by the copy without a member that only the platform's list tells of.
test("an instance joins after the return by the list if the members of the copy have terminated", async () => {
    const { fleet, first, second } = await startWithLostMember(false);
    await first.close();
    const third = await fleet.start("c", true);
    const joined: string[][] = [];
    third.membership.onChange(() => joined.push(third.names));
    await waitFor(() => second.names.length === 2 && third.names.length === 2 && !third.names.includes("a"));
    expectOneRecord(fleet, [second, third]);
    expect(third.names).toEqual(["b", "c"]);
    expect(joined.filter(names => names.includes("c") && !names.includes("b"))).toEqual([]);
});

// Guards against a second record: the members of the copy have ended, and those that came later are not heard.
test.each([
    ["the list cannot be read", (fleet: Fleet, _second: Node, isHeard: boolean) => fleet.isListed = isHeard],
    [
        "a listed instance does not respond",
        (_fleet: Fleet, second: Node, isHeard: boolean) => second.responding = isHeard,
    ],
])("an instance that joins after the return waits while %s", async (_name, setHeard) => {
    const { fleet, first, second } = await startWithLostMember(false);
    await first.close();
    setHeard(fleet, second, false);
    const third = await fleet.start("c", true);
    const joined: string[][] = [];
    third.membership.onChange(() => joined.push(third.names));
    await sleep(2_000);
    expect(joined.filter(names => names.includes("c") && !names.includes("b"))).toEqual([]);
    setHeard(fleet, second, true);
    await waitFor(() => second.names.join() === "b,c" && third.names.join() === "b,c");
    expectOneRecord(fleet, [second, third]);
});

// Guards against living members that are removed as terminated since the list was read for the first time in a while.
test("a member is removed if successive reads of the list lack it, not if they are far apart", async () => {
    const fleet = await Fleet.begin();
    const nodes = [await fleet.start("a", true), await fleet.start("b", true)];
    await waitFor(() => nodes.every(({ names }) => names.length === 2));
    const { epoch } = fleet.stored;
    await sleep(TWO_READS_MILLISECONDS);
    expect(fleet.stored.epoch).toBe(epoch);
    const removals: string[][] = [];
    nodes[0]!.membership.onChange(() => removals.push(nodes[0]!.names));
    fleet.unlist("b");
    await sleep(TWO_READS_MILLISECONDS);
    expect(removals[0]).toEqual(["a"]);
}, 40_000);
