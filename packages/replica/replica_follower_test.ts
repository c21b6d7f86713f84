import { err, ok } from "neverthrow";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { sleep, SuspensionAwareClock } from "../clocks/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { StoreFailure } from "../store/mod.ts";
import { ItemReplica } from "./item_replica.ts";
import { ReplicaFollower } from "./replica_follower.ts";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** Counts the calls that a follower makes in a time in which the store rejects it. */
async function countCalls(milliseconds: number, confirmedByPeers: () => boolean): Promise<number> {
    let calls = 0;
    const reject = async () => {
        calls++;
        return err(new StoreFailure("not-run", "The store responded with status 503"));
    };
    const clock = new SuspensionAwareClock(() => performance.now(), () => performance.now());
    const replica = new ItemReplica();
    replica.replace({ items: [], era: 1, revision: 5 }, clock.now());
    const follower = new ReplicaFollower(replica, { list: reject, watch: reject }, {
        prefix: "",
        clock,
        isReader: () => false,
        awaitedReadAt: () => undefined,
        onRead: () => {},
        logger: createLogger("test", new PassThrough().resume()),
        metrics: new Metrics(),
    });
    for (let passed = 0; passed < milliseconds; passed += 100) {
        if (confirmedByPeers()) {
            replica.confirm({ era: 1, revision: 5 }, clock.now());
        }
        await vi.advanceTimersByTimeAsync(100);
    }
    const closed = follower.close();
    await vi.runAllTimersAsync();
    await closed;
    return calls;
}

test("an instance that the store rejects calls it seldom while its peers confirm the replica", async () => {
    expect(await countCalls(12_000, () => true)).toBeLessThanOrEqual(9);
});

test("without a confirmation by peers, the store is called often", async () => {
    expect(await countCalls(12_000, () => false)).toBeGreaterThanOrEqual(14);
    let confirmed = true;
    setTimeout(() => {
        confirmed = false;
    }, 6_000);
    expect(await countCalls(12_000, () => confirmed)).toBeGreaterThanOrEqual(12);
});

/** Time that a call of the store takes. */
const CALL_MILLISECONDS = 10;
/** Time in milliseconds from the start of the follower on from which a read is awaited. */
const AWAITED_MILLISECONDS = 2_000;
const LOOK_MILLISECONDS = 10;

interface AwaitedReadCase {
    name: string;
    isReader: boolean;
    /** Times in milliseconds at which the store changes. */
    changes: number[];
    /** Revisions by which the store's answers are behind the replica. */
    behind?: number;
}

/** Follows a store until a while after a read is awaited, and tells when it was known and how often the store was called. */
async function awaitRead({ isReader, changes, behind = 0 }: AwaitedReadCase) {
    const clock = new SuspensionAwareClock(() => performance.now(), () => performance.now());
    const replica = new ItemReplica();
    const startedAt = clock.now();
    const awaitedAt = startedAt + AWAITED_MILLISECONDS;
    const revision = () => 5 + changes.filter(at => clock.now() - startedAt >= at).length;
    const calls: number[] = [];
    const follower = new ReplicaFollower(replica, {
        list: async () => {
            await sleep(CALL_MILLISECONDS);
            return ok({ items: [], era: 1, revision: revision() });
        },
        watch: async (_, after, wait) => {
            calls.push(clock.now() - startedAt);
            const until = clock.now() + wait;
            while (revision() <= after.revision && clock.now() < until) {
                await sleep(1);
            }
            await sleep(CALL_MILLISECONDS);
            return ok({ kind: "changes", changes: [], era: 1, revision: revision() - behind });
        },
    }, {
        prefix: "",
        clock,
        isReader: () => isReader,
        awaitedReadAt: () => replica.isFilled && replica.confirmedAt < awaitedAt ? awaitedAt : undefined,
        onRead: () => {},
        logger: createLogger("test", new PassThrough().resume()),
        metrics: new Metrics(),
    });
    let knownAfter: number | undefined;
    for (let passed = 0; passed < AWAITED_MILLISECONDS + 1_000; passed += LOOK_MILLISECONDS) {
        await vi.advanceTimersByTimeAsync(LOOK_MILLISECONDS);
        if (passed < AWAITED_MILLISECONDS - 100) {
            // Peers that entered the era a little earlier have no reason to read again just then.
            replica.confirm(replica.position, clock.now());
        }
        if (replica.confirmedAt >= awaitedAt) {
            knownAfter ??= clock.now() - awaitedAt;
        }
    }
    const closed = follower.close();
    await vi.runAllTimersAsync();
    await closed;
    return { knownAfter, calls: calls.filter(at => at >= AWAITED_MILLISECONDS) };
}

// Guards against keys and streams that are refused for up to 1.2 s longer than the doubt about the store's copy lasts.
test.each<AwaitedReadCase>([
    { name: "a reader of a store without changes", isReader: true, changes: [] },
    { name: "a reader of a store that has just changed", isReader: true, changes: [1_950] },
    { name: "a reader of a store that changes all the time", isReader: true, changes: [300, 900, 1_500, 1_900, 2_005] },
    { name: "an instance that relies on its peers", isReader: false, changes: [] },
])("a read that is awaited begins as soon as it may: $name", async options => {
    const { knownAfter } = await awaitRead(options);
    expect(knownAfter).toBeGreaterThanOrEqual(0);
    expect(knownAfter).toBeLessThanOrEqual(CALL_MILLISECONDS + 3 * LOOK_MILLISECONDS);
});

// Guards against calls of the store without a pause while its answers are older than the replica.
test("an awaited read that confirms nothing is repeated after a pause", async () => {
    const { knownAfter, calls } = await awaitRead({ name: "", isReader: true, changes: [], behind: 1 });
    expect(knownAfter).toBeUndefined();
    expect(calls.length).toBeGreaterThanOrEqual(5);
    expect(calls.length).toBeLessThanOrEqual(11);
});
