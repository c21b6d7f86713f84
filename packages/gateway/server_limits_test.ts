import { expect, test } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { ServerLimits } from "./server_limits.ts";

const WINDOW_MILLISECONDS = 4_000;
const server: RegisteredServer = {
    ...{ id: "first", service: "orders", address: "127.0.0.1:1", failureDomain: "north", leaving: false },
    ...{ stage: undefined, slots: 8, coldMilliseconds: 0, startedAt: 1, softwareVersion: "v1" },
};

/** Creates a fleet with one object per instance, whose ranks differ, and clocks that differ by up to a time. */
function createFleet(count: number, skewMilliseconds = 0) {
    const times = { now: 0 };
    const clock = new SuspensionAwareClock(() => times.now, () => times.now);
    const directory = new Directory();
    directory.apply({ kind: "server", server });
    const metrics = new Metrics();
    const lines: unknown[] = [];
    const log = (message: string, fields?: object) => lines.push({ message, ...fields });
    const fleet = Array.from({ length: count }, (_, index) =>
        new ServerLimits({
            self: { name: `instance-${index}`, incarnation: "a" },
            instanceCount: () => count,
            isInOtherCell: () => false,
            firstStart: true,
            rankOf: () => index,
            unixTime: () => times.now + skewMilliseconds * index / count,
            directory,
            clock,
            metrics,
            logger: { info: log, warn: log, error: log },
        }));
    const report = (from: number, to: number) => {
        fleet[to]?.usage.recordPeerReport(`instance-${from}`, "a", fleet[from]!.usage.report());
        fleet[to]?.recordPeerNotices(fleet[from]!.notices());
    };
    const exchange = () => fleet.forEach((_, from) => fleet.forEach((__, to) => from === to || report(from, to)));
    return { times, directory, metrics, lines, fleet, report, exchange };
}

// Guards against limits that are taken for zero, for none or for another number than the server has named.
test.each([
    ["2", 13],
    ["1.25", 9],
    [" 0.5 ", 4],
    ["0", 1],
    ["0.0001", 1],
    ["0.30000000000000004", 3],
    ["1.3333333333333333", 10],
    [`1.25${"0".repeat(40)}1`, 9],
    ["900000000000000", undefined],
    ["1e3", undefined],
    ["-1", undefined],
    ["Infinity", undefined],
    ["", undefined],
    ["1, 1", undefined],
])(
    "a lone instance uses half of the permitted excess of the limit %j, and at most as much as the limit",
    (value, expected) => {
        const { fleet: [limits], metrics } = createFleet(1);
        limits!.record(server, value, true);
        let sent = 0;
        for (; sent < 1_000 && limits!.admits(server); sent++) {
            limits!.take(server);
        }
        expect(sent).toBe(expected ?? 1_000);
        const malformed = Number(expected === undefined && !/^\d+$/.test(value));
        expect(metrics.count("server_limits_total", { change: "malformed", source: "answer" })).toBe(malformed);
        expect(limits!.waitMilliseconds(server) > 0).toBe(expected !== undefined);
    },
);

// Guards against instances that use one limit each for themselves, and against a low limit that no instance uses.
test.each([
    [2, 1, 50, 0, 1],
    [9, 1, 100, 0, 2],
    [9, 1, 500, 0, 3],
    [9, 0.3, 500, 0, 4],
    [9, 10, 500, 0, 5],
    [30, 1, 300, 0, 6],
    [30, 20, 500, 0, 7],
    [9, 1, 500, 5_000, 8],
    [30, 0.3, 500, 2_500, 9],
    [30, 10, 200, 5_000, 10],
])("%i instances keep to a limit of %d a second, reports every %i ms, skew %i ms (seed %i)", (...parameters) => {
    const [count, limit, period, skew, seed] = parameters;
    const { times, fleet, exchange } = createFleet(count, skew);
    const random = new RandomSource(seed);
    fleet.forEach(limits => limits.record(server, String(limit), true));
    const sent: number[] = [];
    for (; times.now < 40_000; times.now += 10) {
        if (times.now % period === 0) {
            exchange();
        }
        const limits = fleet[Math.floor(random.next() * count)]!;
        if (limits.admits(server)) {
            limits.take(server);
            sent.push(times.now);
        }
    }
    const counts = sent.map(start => sent.filter(at => at >= start && at < start + WINDOW_MILLISECONDS).length);
    expect(Math.max(...counts)).toBeLessThanOrEqual(1.5 * limit * 4 + 5);
    expect(sent.length).toBeGreaterThan(limit * 40 * 0.7);
});

// Guards against instances that never get a place, since others are before them in the order of the server.
test.each([[5, 0.3], [9, 1], [9, 2.5], [30, 1]])("each of %i instances uses a limit of %d a second", (count, limit) => {
    const { times, fleet, exchange } = createFleet(count);
    const random = new RandomSource(11);
    fleet.forEach(limits => limits.record(server, String(limit), true));
    const sent = fleet.map(() => 0);
    for (; times.now < 2 * count * WINDOW_MILLISECONDS; times.now += 10) {
        if (times.now % 200 === 0) {
            exchange();
        }
        const index = Math.floor(random.next() * count);
        if (fleet[index]!.admits(server)) {
            fleet[index]!.take(server);
            sent[index]!++;
        }
    }
    expect(Math.min(...sent)).toBeGreaterThan(0);
});

// Guards against an instance that spends what others count on because the server has not answered it.
test("an instance keeps to a limit of which it has only heard from a peer, and to what its peers have used", () => {
    const { fleet: [first, second], report } = createFleet(2);
    const sendAll = (limits: ServerLimits) => {
        let sent = 0;
        for (; sent < 100 && limits.admits(server); sent++) {
            limits.take(server);
        }
        return sent;
    };
    first!.record(server, "1", true);
    // The other half is left to the instance that has not reported.
    expect(sendAll(first!)).toBe(2);
    report(0, 1);
    let sent = 2;
    for (let round = 0; round < 10; round++) {
        sent += sendAll(second!);
        report(1, 0);
        sent += sendAll(first!);
        report(0, 1);
    }
    // The limit, and eight tenths of the permitted excess.
    expect(sent).toBeGreaterThanOrEqual(4);
    expect(sent).toBeLessThanOrEqual(4 + 0.8 * 7);
});

// Guards against limits that come back by an older notice, or that an answer to another kind of call ends.
test("the latest notice of a server counts, whoever received it", () => {
    const { times, fleet: [first, second], report } = createFleet(2);
    first!.record(server, "0", true);
    report(0, 1);
    second!.record(server, undefined, false);
    expect(second!.waitMilliseconds(server)).toBe(0);
    second!.take(server);
    expect(second!.waitMilliseconds(server)).toBe(WINDOW_MILLISECONDS);
    times.now = 1_000;
    second!.record(server, undefined, true);
    expect(second!.waitMilliseconds(server)).toBe(0);
    report(0, 1);
    expect(second!.waitMilliseconds(server)).toBe(0);
    report(1, 0);
    expect(first!.notices()).toEqual([]);
    expect(first!.version).toBe(2);
});

// Guards against limits that come back by a notice which was under way at their end.
test.each([[0, false], [100, false], [400, true]])(
    "a peer's notice, %i ms after the answer that ended its limit, brings it back: %j",
    (milliseconds, isLimited) => {
        const { times, fleet: [first, second] } = createFleet(2);
        second!.record(server, "0", true);
        first!.record(server, "0", true);
        times.now = 1_000;
        first!.record(server, undefined, true);
        times.now += milliseconds;
        second!.record(server, "0", true);
        first!.recordPeerNotices(second!.notices());
        first!.take(server);
        expect(first!.waitMilliseconds(server) > 0).toBe(isLimited);
    },
);

// Guards against limits of which nobody tells an instance that starts later.
test("one of several instances that were told at the same time goes on to report it", () => {
    const { times, fleet: [first, second, third], report, exchange } = createFleet(3);
    first!.record(server, "0", true);
    second!.record(server, "0", true);
    for (let round = 0; round < 3; round++) {
        times.now += 50;
        const notices = [first!.notices(), second!.notices()];
        times.now += 50;
        first!.recordPeerNotices(notices[1]!);
        second!.recordPeerNotices(notices[0]!);
    }
    report(0, 2);
    report(1, 2);
    third!.take(server);
    expect(third!.waitMilliseconds(server)).toBe(WINDOW_MILLISECONDS);
    // A notice does not look newer with each time that it is passed on.
    times.now += 100;
    third!.record(server, undefined, true);
    times.now += 200;
    exchange();
    expect(third!.waitMilliseconds(server)).toBe(0);
});

// Guards against a limit of an earlier start of a server.
test("a limit ends with another start of its server", () => {
    const { directory, fleet: [limits] } = createFleet(1);
    limits!.record(server, "0", true);
    limits!.take(server);
    expect(limits!.admits(server)).toBe(false);
    const restarted = { ...server, startedAt: 2 };
    directory.apply({ kind: "server", server: restarted });
    expect(limits!.admits(restarted)).toBe(true);
    limits!.record(server, "0", true);
    expect(limits!.admits(restarted)).toBe(true);
    expect(limits!.notices()).toEqual([]);
});
