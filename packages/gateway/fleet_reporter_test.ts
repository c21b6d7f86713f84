import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { FleetReporter } from "./fleet_reporter.ts";
import { ServerLoadTracker } from "./server_load_tracker.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createReporter() {
    const directory = new Directory();
    ["a", "b"].forEach(id => directory.apply({ kind: "server", server: { id, startedAt: 1 } as RegisteredServer }));
    const serverLoads = new ServerLoadTracker(directory);
    const links = { isSuspected: false, isIsolated: false };
    const nothing = { report: () => ({ spending: {}, ended: {} }) };
    const reachability = {
        get isSuspected() {
            return links.isSuspected;
        },
        report: () => !links.isIsolated,
    };
    const reporter = new FleetReporter({
        serverLoads,
        reachability,
        rateLimiter: nothing,
        versionOutcomes: nothing,
        serverLimits: { usage: nothing, notices: () => [] },
        loadPolicies: { demand: { report: () => undefined } },
        crashRegistry: { recent: () => [] },
        promptParts: { createReport: () => undefined },
        leavingServers: { firsthand: () => [] },
        engineSpeeds: nothing,
        stageBalancer: () => undefined,
        readsStore: () => true,
    } as never);
    return { serverLoads, links, reporter };
}

// Guards against sound servers that peers avoid since an isolated instance reports that its requests to them fail.
test("failures that are seen while the links are suspect are held back, and reported if they stand", () => {
    const { serverLoads, links, reporter } = createReporter();
    const failures = () => {
        const { loads = {} } = reporter.createReport(true) ?? {};
        return Object.fromEntries(Object.entries(loads).map(([id, [, , , count]]) => [id, count]));
    };
    serverLoads.get("a").recordFailure();
    expect(failures()).toEqual({ a: 1 });
    links.isSuspected = true;
    ["a", "b"].forEach(id => serverLoads.get(id).recordFailure());
    expect(failures()).toEqual({ a: 1 });
    expect(reporter.createReport(true)?.serversReachable).toBe(true);
    links.isIsolated = true;
    expect(failures()).toEqual({ a: 1 });
    expect(reporter.createReport(true)?.serversReachable).toBe(false);
    links.isSuspected = false;
    expect(failures()).toEqual({ a: 2, b: 1 });
});

// Guards against servers that stay avoided after the links are back, since connections to them failed meanwhile.
test("faults of isolation are forgotten, and servers that have ended stay avoided", () => {
    const { serverLoads } = createReporter();
    serverLoads.markTerminated("b");
    for (const id of ["a", "b"]) {
        serverLoads.get(id).recordFailure();
        serverLoads.avoid(id, 5_000);
    }
    serverLoads.forgetFaults();
    expect(serverLoads.get("a")).toMatchObject({ avoidedUntil: 0, outcomes: { failures: 0 } });
    expect(serverLoads.get("b").avoidedUntil).toBeGreaterThan(performance.now());
});
