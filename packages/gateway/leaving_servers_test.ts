import { expect, test } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { LeavingServers } from "./leaving_servers.ts";
import { PausedServers } from "./paused_servers.ts";
import { ServerAvailability } from "./server_availability.ts";
import { ServerClient } from "./server_client.ts";
import { ServerLimits } from "./server_limits.ts";

const DRAIN_MILLISECONDS = 2_000;

function server(id: string, changes: Partial<RegisteredServer> = {}): RegisteredServer {
    return {
        ...{ id, service: "orders", address: "127.0.0.1:1", failureDomain: "north", leaving: false, stage: undefined },
        ...{ slots: 8, coldMilliseconds: 0, startedAt: 1, softwareVersion: "v1" },
        ...changes,
    };
}

function create(...servers: RegisteredServer[]) {
    const directory = new Directory();
    servers.forEach(registered => directory.apply({ kind: "server", server: registered }));
    const clock = { time: 0, now: () => clock.time };
    const lines: Record<string, unknown>[] = [];
    const log = (message: string, fields?: object) => lines.push({ message, ...fields });
    const metrics = new Metrics();
    const logger = { info: log, warn: log, error: log };
    const pausedServers = new PausedServers({ maximumMilliseconds: () => 60_000, metrics, logger });
    const leavingServers = new LeavingServers({
        directory,
        clock,
        drainMilliseconds: () => DRAIN_MILLISECONDS,
        metrics,
        logger,
    });
    const serverLimits = new ServerLimits({
        directory,
        clock: new SuspensionAwareClock(),
        self: { name: "instance-1", incarnation: "a" },
        instanceCount: () => 1,
        isInOtherCell: () => false,
        firstStart: true,
        rankOf: () => 0,
        metrics,
        logger,
    });
    return {
        directory,
        serverLimits,
        clock,
        lines,
        metrics,
        leavingServers,
        pausedServers,
        availability: new ServerAvailability(directory, leavingServers, pausedServers, serverLimits),
    };
}

test("others are preferred at once, and within the drain time the server is excluded", () => {
    const [first, second] = [server("first"), server("second")];
    const { clock, leavingServers, availability, metrics, lines } = create(first, second);
    leavingServers.record(first, "answer");
    expect(availability.preferStaying([first, second])).toEqual([second]);
    expect(availability.preferStaying([first])).toEqual([first]);
    expect(availability.isUsable(first)).toBe(true);
    clock.time = DRAIN_MILLISECONDS / 2;
    // A later answer does not prolong the time.
    leavingServers.record(first, "answer");
    clock.time = DRAIN_MILLISECONDS;
    expect(availability.isUsable(first)).toBe(false);
    expect(availability.usableServers("orders")).toEqual([second]);
    expect(availability.findRefusal("orders")).toBeUndefined();
    expect(metrics.count("servers_leaving_total", { source: "answer" })).toBe(1);
    expect(lines).toHaveLength(1);
});

// Guards against a use of a leaving server after its entry was written again, or was missing for a while.
test("an entry of the same start does not take it back, another start does", () => {
    const first = server("first");
    const { directory, clock, leavingServers, availability } = create(first);
    leavingServers.record(first, "answer");
    clock.time = DRAIN_MILLISECONDS;
    expect(availability.findRefusal("orders")).toMatchObject({ status: 503, verdict: "not-run" });
    directory.apply({ kind: "server-removed", id: "first" });
    directory.apply({ kind: "server", server: server("first") });
    expect(availability.usableServers("orders")).toEqual([]);
    directory.apply({ kind: "server", server: server("first", { startedAt: 2 }) });
    expect(availability.usableServers("orders")).toHaveLength(1);
    // A late answer of the former start says nothing about the new one.
    leavingServers.record(first, "answer");
    expect(leavingServers.isLeaving(server("first", { startedAt: 2 }))).toBe(false);
});

// Guards against requests to a server after its drain time, whose notice was replaced by one of its former start, or timed anew.
test.each<[string, (leavingServers: LeavingServers, directory: Directory) => void]>([
    [
        "a peer that has read an older entry names the former start while none is registered",
        (leavingServers, directory) => {
            directory.apply({ kind: "server-removed", id: "first" });
            leavingServers.record(server("first"), "peer");
        },
    ],
    [
        "an older copy of the store brings the former entry back and it answers once more",
        (leavingServers, directory) => {
            directory.apply({ kind: "server", server: server("first") });
            leavingServers.record(server("first"), "answer");
        },
    ],
])("a leaving server stays so when %s", (_name, disturb) => {
    const first = server("first", { startedAt: 2 });
    const { directory, clock, leavingServers, availability } = create(first);
    leavingServers.record(first, "answer");
    clock.time = DRAIN_MILLISECONDS / 2;
    disturb(leavingServers, directory);
    directory.apply({ kind: "server", server: first });
    leavingServers.record(first, "answer");
    clock.time = DRAIN_MILLISECONDS;
    expect(availability.usableServers("orders")).toEqual([]);
});

// Guards against reports that instances repeat to each other for ever.
test("only what a server itself has said is reported to peers, until its entry is removed", () => {
    const [first, second] = [server("first"), server("second")];
    const { directory, leavingServers } = create(first, second);
    leavingServers.record(first, "answer");
    leavingServers.record(second, "peer");
    expect(leavingServers.isLeaving(second)).toBe(true);
    expect(leavingServers.firsthand()).toEqual([["first", 1]]);
    leavingServers.record(second, "answer");
    expect(leavingServers.firsthand()).toEqual([["first", 1], ["second", 1]]);
    directory.apply({ kind: "server-removed", id: "first" });
    expect(leavingServers.firsthand()).toEqual([["second", 1]]);
});

// Guards against the exclusion of a server because another one at its address leaves.
test("the header of an answer by another server than the expected one is not recorded", async () => {
    const first = server("first");
    const { leavingServers, pausedServers, serverLimits } = create(first);
    const names = { leaving: "x-leaving" } as ConstructorParameters<typeof ServerClient>[1];
    const respond = (status: number, headers: Record<string, string>) => {
        const response = { isOk: () => true, value: { status, headers } };
        const pool = { send: async () => response } as unknown as ConstructorParameters<typeof ServerClient>[0];
        const request = { method: "GET", path: "/", headers: [], timeoutMilliseconds: 1 };
        const reachability = { beginCall: () => {}, endCall: () => {}, recordAnswer: () => {} } as never;
        const observers = { leavingServers, pausedServers, serverLimits, reachability };
        return new ServerClient(pool, names, observers).send(first, request);
    };
    await respond(421, { "x-leaving": "1", "retry-after": "9" });
    await respond(200, { "x-leaving": "0" });
    await respond(200, {});
    expect(leavingServers.isLeaving(first)).toBe(false);
    expect(pausedServers.remainingMilliseconds(first)).toBe(0);
    await respond(503, { "x-leaving": "1", "retry-after": "9" });
    expect(leavingServers.isLeaving(first)).toBe(true);
    expect(pausedServers.remainingMilliseconds(first)).toBeGreaterThan(8_000);
});
