import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import type { CrashedRun } from "../prompt_parts/mod.ts";
import { CrashRegistry } from "./crash_registry.ts";

const logger = createLogger("test", new PassThrough().resume());
const request = { path: "/draft/1", body: Buffer.from("prompt"), organisation: undefined };

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function createRegistry(): CrashRegistry {
    return new CrashRegistry(new Directory(), logger);
}

function crash(registry: CrashRegistry, server: string, startedAt = 1): void {
    registry.recordBrokenConnection(request, { id: server, startedAt });
    registry.recordServerEnd(server);
}

test("a request that crashed three servers is blocked for a time", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server));
    expect(registry.isBlocked(request)).toBe(false);
    crash(registry, "c");
    expect(registry.isBlocked(request)).toBe(true);
    vi.advanceTimersByTime(31_000);
    expect(registry.isBlocked(request)).toBe(false);
});

test("a server counts again if it crashes once more after its first crash has ceased to count", () => {
    const registry = createRegistry();
    crash(registry, "a");
    vi.advanceTimersByTime(31_000);
    ["a", "b", "c"].forEach(server => crash(registry, server));
    expect(registry.isBlocked(request)).toBe(true);
});

test("several crashes of one start of a server count once", () => {
    const registry = createRegistry();
    ["a", "a", "a"].forEach(server => crash(registry, server));
    expect(registry.isBlocked(request)).toBe(false);
});

// Guards against sound requests that are blocked during an upgrade, since a former build reports a crash that this one has seen, too.
test("a crash that a peer reports by the id of the server alone counts once", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server));
    const [[fingerprint = ""] = []] = registry.recent();
    ["a", "b"].forEach(server => registry.recordPeerCrash(fingerprint, server));
    expect(registry.isBlocked(request)).toBe(false);
});

// Guards against a request that crashes the few servers of a service again and again, since they start again under their ids and
// each counted once. What peers report, again and again, counts once.
test("each start of a server under one id that a request has crashed counts", () => {
    const registries = [createRegistry(), createRegistry()] as const;
    [1, 2, 3].forEach(startedAt => {
        expect(registries.map(registry => registry.isBlocked(request))).toEqual([false, false]);
        crash(registries[0], "a", startedAt);
        [0, 1, 1].forEach(() =>
            registries[0].recent().forEach(([fingerprint, start]) => registries[1].recordPeerCrash(fingerprint, start))
        );
        registries[1].recent().forEach(([fingerprint, start]) => registries[0].recordPeerCrash(fingerprint, start));
    });
    expect(registries.map(registry => registry.isBlocked(request))).toEqual([true, true]);
});

function run(part: string): Pick<CrashedRun, "aliveAt" | "parts"> {
    return { aliveAt: performance.now(), parts: [part] };
}

function register(directory: Directory, startedAt: number): void {
    const server: RegisteredServer = {
        id: "a",
        service: "models",
        address: "127.0.0.1:1",
        failureDomain: "north",
        softwareVersion: "v1",
        leaving: false,
        stage: "decode",
        slots: 8,
        coldMilliseconds: 0,
        startedAt,
    };
    directory.apply({ kind: "server", server });
}

// Guards against crashes that are believed since a start of the server long ago is compared with its present one.
test("a broken connection to a server that has restarted long ago is no crash", () => {
    const directory = new Directory();
    const crashes: CrashedRun[] = [];
    const registry = new CrashRegistry(directory, logger, crashedRun => crashes.push(crashedRun));
    register(directory, 1);
    registry.recordBrokenConnection(request, { id: "a", startedAt: 1 }, run("models/x"));
    register(directory, 1);
    vi.advanceTimersByTime(1_000);
    register(directory, 2);
    expect(crashes).toHaveLength(1);
    // A minute later the link to the sound server breaks; then its entry is written again, unchanged.
    vi.advanceTimersByTime(60_000);
    registry.recordBrokenConnection(request, { id: "a", startedAt: 2 }, run("models/sound"));
    register(directory, 2);
    expect(crashes).toHaveLength(1);
});

// Guards against parts that escape since the first entry after a crash is already that of the next start.
test("a server that starts again under its id before any other change has crashed", () => {
    const directory = new Directory();
    const crashes: CrashedRun[] = [];
    const registry = new CrashRegistry(directory, logger, crashedRun => crashes.push(crashedRun));
    register(directory, 1);
    registry.recordBrokenConnection(request, { id: "a", startedAt: 1 }, run("models/deadly"));
    vi.advanceTimersByTime(1_500);
    register(directory, 2);
    expect(crashes).toHaveLength(1);
});

// Guards against the conviction of parts whose engine has left as planned, or whose entry the store has lost.
test("a removed registration alone proves no crash", () => {
    const directory = new Directory();
    const crashes: CrashedRun[] = [];
    const registry = new CrashRegistry(directory, logger, crashedRun => crashes.push(crashedRun));
    register(directory, 1);
    registry.recordBrokenConnection(request, { id: "a", startedAt: 1 }, run("models/sound"));
    directory.apply({ kind: "server-removed", id: "a" });
    expect(crashes).toEqual([]);
});

// Guards against crashes that an isolated instance records and reports, since it cannot reach servers that run.
test.each<[string, (registry: CrashRegistry, directory: Directory) => unknown]>([
    ["registers again", (_registry, directory) => register(directory, 2)],
    ["refuses connections", registry => registry.recordUnreachable({ id: "a", startedAt: 1 })],
])("the end of a server that %s counts once the links are known to stand", async (_name, end) => {
    for (const areStanding of [true, false]) {
        const directory = new Directory();
        let settle: (areStanding: boolean) => void = () => {};
        const settled = new Promise<boolean>(resolve => settle = resolve);
        const links = { isSuspected: true, settle: () => settled, confirmLinks: () => settled, onChange: () => {} };
        const registry = new CrashRegistry(directory, logger, () => {}, links);
        register(directory, 1);
        registry.recordBrokenConnection(request, { id: "a", startedAt: 1 });
        void end(registry, directory);
        expect(registry.recent()).toEqual([]);
        links.isSuspected = !areStanding;
        settle(areStanding);
        await vi.advanceTimersByTimeAsync(0);
        expect(registry.recent()).toHaveLength(areStanding ? 1 : 0);
    }
});

// Guards against parts that are blocked as deadly since a call to the former process of a server is refused, whose present process
// runs elsewhere and has only reset a connection.
test.each<[string, (registry: CrashRegistry) => unknown]>([
    ["another server answers at its address", registry => registry.recordServerEnd("a", 1)],
    ["its port is closed", registry => registry.recordUnreachable({ id: "a", startedAt: 1 })],
])(
    "the end of a former start of a server, where %s, is no evidence against runs of the present one",
    async (_name, end) => {
        const directory = new Directory();
        const crashes: CrashedRun[] = [];
        const registry = new CrashRegistry(directory, logger, crashedRun => crashes.push(crashedRun));
        register(directory, 2);
        registry.recordBrokenConnection(request, { id: "a", startedAt: 2 }, run("models/sound"));
        await end(registry);
        expect([crashes, registry.recent()]).toEqual([[], []]);
        registry.recordServerEnd("a", 2);
        expect([crashes.length, registry.recent().length]).toEqual([1, 1]);
    },
);

// Guards against crashes that count since connections broke in a partition and their servers end for another reason.
test("connections that broke around isolation are no evidence later", () => {
    let change = (): void => {};
    const links = { isSuspected: false, onChange: (listener: () => void) => change = listener };
    const registry = new CrashRegistry(new Directory(), logger, () => {}, links as never);
    registry.recordBrokenConnection(request, { id: "a", startedAt: 1 });
    change();
    registry.recordServerEnd("a");
    expect(registry.recent()).toEqual([]);
    crash(registry, "a");
    expect(registry.recent()).toHaveLength(1);
});
