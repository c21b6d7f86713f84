import { expect, test } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { FleetReporter } from "./fleet_reporter.ts";
import { ServerLoadTracker } from "./server_load_tracker.ts";

// Guards against a new process that no peer uses as long as it runs, since the end of its predecessor was noticed only after it had
// registered under the same id: the mark went to the registration of that moment.
test.each([
    { name: "is registered still", before: 1, after: 1, isWithheld: true },
    { name: "has started again at another address", before: 1, after: 2, isWithheld: false },
    { name: "is not registered any more", before: 1, after: undefined, isWithheld: true },
])(
    "a server that is gone from its address and $name is withheld: $isWithheld",
    async ({ before, after, isWithheld }) => {
        const directory = new Directory();
        const serverLoads = new ServerLoadTracker(directory);
        const register = (startedAt: number, address: string) =>
            directory.apply({ kind: "server", server: { id: "a", startedAt, address } as RegisteredServer });
        register(before, "127.0.0.1:1");
        if (after === undefined) {
            directory.apply({ kind: "server-removed", id: "a" });
        }
        else if (after !== before) {
            register(after, "127.0.0.1:2");
        }
        await Promise.resolve();
        serverLoads.markTerminated("a", before);
        expect([serverLoads.gone(), serverLoads.get("a").avoidedUntil > performance.now()])
            .toEqual([isWithheld ? [["a", before]] : [], isWithheld]);
        // Its next heartbeats change nothing.
        register(after ?? 2, "127.0.0.1:2");
        await Promise.resolve();
        expect(serverLoads.gone()).toEqual(after === before ? [["a", before]] : []);
    },
);

// Guards against a new process that all instances leave out for as long as one of them is cut off from the store, which reports the
// former one as gone.
test.each([
    { name: "the registered start", startedAt: 1, isWithheld: true },
    { name: "a former start", startedAt: 0, isWithheld: false },
])("a server is withheld after a peer's report that $name is gone: $isWithheld", ({ startedAt, isWithheld }) => {
    const directory = new Directory();
    const serverLoads = new ServerLoadTracker(directory);
    directory.apply({ kind: "server", server: { id: "a", startedAt: 1 } as RegisteredServer });
    const nothing = {
        recordPeer: () => {},
        applyReport: () => {},
        recordPeerReport: () => {},
        recordPeerNotices: () => {},
    };
    const reporter = new FleetReporter({
        serverLoads,
        engineSpeeds: nothing,
        loadPolicies: { demand: nothing },
        rateLimiter: nothing,
        serverLimits: nothing,
        promptParts: nothing,
    } as never);
    const peer = { loads: {}, changing: [], leaving: [], crashes: [] };
    reporter.applyReport({ ...peer, gone: ["a"], goneStarts: [["a", startedAt]] } as never);
    expect(serverLoads.get("a").avoidedUntil > performance.now()).toBe(isWithheld);
    // An earlier program names no start.
    reporter.applyReport({ ...peer, gone: ["a"], goneStarts: [] } as never);
    expect(serverLoads.get("a").avoidedUntil > performance.now()).toBe(true);
});
