import { err } from "neverthrow";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
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
