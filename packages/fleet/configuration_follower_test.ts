import { expect, onTestFinished, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import { PortBlock } from "../harness/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { StoreStandIn } from "../stand_ins/mod.ts";
import { HttpStore } from "../store/mod.ts";
import { ConfigurationFollower } from "./mod.ts";

const noopLogger = { info: () => {}, warn: () => {}, error: () => {} };
const SETTLE_MILLISECONDS = 4_000;
const POLL_MILLISECONDS = 20;
/** One watch, one write back and the watch after it, for each change and each return of the store. */
const MAXIMUM_CALLS_AFTER_A_RETURN = 8;

/** The parts of an instance that keep the configuration. */
class Node {
    readonly configuration: ConfigurationState;
    readonly follower: ConfigurationFollower;
    /** Whether the node answers the others. */
    reachable = true;
    calls = 0;

    constructor(storeAddress: string, fleet: Node[]) {
        this.configuration = new ConfigurationState(new Invariants(new Metrics(), noopLogger, false));
        const store = new HttpStore(storeAddress, { onCall: () => this.calls++ });
        const options = {
            store,
            configuration: this.configuration,
            membership: { isMember: false, noticeStoreEra: () => {} } as never,
            logger: noopLogger,
            heartbeats: {
                collectConfiguration: async () => {
                    fleet.forEach(({ reachable, configuration }) =>
                        reachable && this.configuration.applySnapshot(configuration.snapshot())
                    );
                    return fleet.every(({ reachable }) => reachable);
                },
            },
        };
        this.follower = new ConfigurationFollower(options);
        fleet.push(this);
        onTestFinished(async () => {
            await this.follower.close();
            await store.close();
        });
    }

    async drain(name: string, attempt = name): Promise<unknown> {
        const operations = [{ collection: "drainedDomains" as const, name, value: { since: "" } }];
        const outcome = await this.follower.change(undefined, operations, attempt);
        return outcome.match(({ version }) => version, ({ verdict }) => verdict);
    }

    get drained(): string[] {
        return Object.keys(this.configuration.document.drainedDomains).sort();
    }
}

async function startFleet(count: number): Promise<{ standIn: StoreStandIn; fleet: Node[]; }> {
    const ports = await PortBlock.reserve();
    onTestFinished(() => ports.close());
    const standIn = new StoreStandIn(`127.0.0.1:${ports.next()}`);
    await standIn.listen();
    onTestFinished(() => standIn.close());
    const fleet: Node[] = [];
    for (let index = 0; index < count; index++) {
        new Node(standIn.address, fleet);
    }
    return { standIn, fleet };
}

async function waitFor(isReached: () => boolean): Promise<void> {
    const deadline = performance.now() + SETTLE_MILLISECONDS;
    while (!isReached() && performance.now() < deadline) {
        await sleep(POLL_MILLISECONDS);
    }
}

// Guards against a configuration that was confirmed before the return being missing from the store for good.
test("a change that the copy lacks is written back and reaches instances that did not know it", async () => {
    const { standIn, fleet: [first, second] } = await startFleet(2);
    await first!.drain("a");
    const copy = standIn.copy();
    await first!.drain("b");
    standIn.restore(copy);
    first!.follower.start();
    await waitFor(() => first!.configuration.ageMilliseconds < POLL_MILLISECONDS);
    second!.follower.start();
    await waitFor(() => second!.drained.length === 2);
    expect([first!.drained, second!.drained]).toEqual([["a", "b"], ["a", "b"]]);
    expect(first!.configuration.ageMilliseconds).toBeLessThan(SETTLE_MILLISECONDS);
});

// Guards against two documents under one version after a change that was built on the older copy.
test("a change after the return contains what another instance knows beyond the copy", async () => {
    const { standIn, fleet: [first, second] } = await startFleet(2);
    await first!.drain("a");
    await second!.drain("a");
    const copy = standIn.copy();
    await first!.drain("b");
    standIn.restore(copy);
    expect(await second!.drain("c")).toBe(3);
    fleetStart([first!, second!]);
    await waitFor(() => first!.drained.length === 3);
    expect([first!.drained, second!.drained]).toEqual([["a", "b", "c"], ["a", "b", "c"]]);
});

// Guards against a change that is built on the copy while an instance that knows more cannot be asked.
test("a change after the return waits for an instance that does not answer, and is refused as not run", async () => {
    const { standIn, fleet: [first, second] } = await startFleet(2);
    await first!.drain("a");
    await second!.drain("a");
    const copy = standIn.copy();
    await first!.drain("b");
    standIn.restore(copy);
    first!.reachable = false;
    expect(await second!.drain("c")).toBe("not-run");
    expect(second!.drained).toEqual(["a"]);
    first!.reachable = true;
    expect(await second!.drain("c")).toBe(3);
    expect(second!.drained).toEqual(["a", "b", "c"]);
}, 15_000);

// Guards against a change that is missed because its revision is at or below the one before the return.
test("a change of the new era at a lower revision is taken at once", async () => {
    const { standIn, fleet: [first, second] } = await startFleet(2);
    const copy = standIn.copy();
    await first!.drain("a");
    await first!.drain("b");
    await first!.drain("c");
    fleetStart([first!]);
    await waitFor(() => first!.configuration.ageMilliseconds < POLL_MILLISECONDS);
    standIn.restore(copy);
    const startedAt = performance.now();
    expect(await second!.drain("d")).toBe(4);
    await waitFor(() => first!.drained.length === 4);
    expect(first!.drained).toEqual(["a", "b", "c", "d"]);
    expect(performance.now() - startedAt).toBeLessThan(SETTLE_MILLISECONDS / 4);
});

// Guards against watches that are made again without a pause, or a write back that is never done, after a return.
test("several returns to one copy neither lose a change nor make the watch spin", async () => {
    const { standIn, fleet: [first] } = await startFleet(1);
    await first!.drain("a");
    const copy = standIn.copy();
    fleetStart([first!]);
    let calls = 0;
    for (const [index, name] of ["b", "c", "d"].entries()) {
        expect(await first!.drain(name)).toBe(index + 2);
        calls = first!.calls;
        standIn.restore(copy);
        await sleep(1_000);
        expect(first!.calls - calls).toBeLessThan(MAXIMUM_CALLS_AFTER_A_RETURN);
    }
    expect(first!.drained).toEqual(["a", "b", "c", "d"]);
    expect([...standIn.copy().values()].map(({ value }) => (value as { version: number; }).version)).toEqual([4]);
});

// Guards against an instance that comes to hold a configuration of the past again because an answer arrives late.
test("a lagging read brings back nothing and writes nothing", async () => {
    const { standIn, fleet: [first, second] } = await startFleet(2);
    await fetch(`http://${standIn.address}/control`, {
        method: "POST",
        body: JSON.stringify({ readLagMilliseconds: 500 }),
    });
    await first!.drain("a");
    await first!.drain("b");
    fleetStart([first!, second!]);
    await waitFor(() => second!.drained.length === 2);
    expect([first!.drained, second!.drained]).toEqual([["a", "b"], ["a", "b"]]);
    expect([...standIn.copy().values()].map(({ revision }) => revision)).toEqual([2]);
});

function fleetStart(nodes: Node[]): void {
    nodes.forEach(({ follower }) => follower.start());
}
