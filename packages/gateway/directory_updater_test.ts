import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import { Directory } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { ItemReplica } from "../replica/mod.ts";
import { DirectoryUpdater } from "./directory_updater.ts";
import { gatewaySettingsSchema } from "./gateway_settings_schema.ts";

const STEP_MILLISECONDS = 100;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** An instance that knows one server, and reads the store while `connected` is true. */
function createUpdater() {
    const clock = new SuspensionAwareClock(() => performance.now(), () => performance.now());
    const replica = new ItemReplica();
    const directory = new Directory();
    const server = { service: "orders", address: "127.0.0.1:1", failureDomain: "north", slots: 1 };
    const state = { leaving: false, stage: undefined, coldMilliseconds: 0, startedAt: 1, softwareVersion: "v1" };
    const updater = new DirectoryUpdater({
        decodeItem: change =>
            change.kind === "written"
                ? { kind: "server", server: { id: change.item.key, ...server, ...state } }
                : { kind: "server-removed", id: change.key },
        replica,
        directory,
        clock,
        isTrustedEra: () => true,
        bounds: () => gatewaySettingsSchema.shape.bounds.parse({}),
        metrics: new Metrics(),
        logger: createLogger("test", new PassThrough().resume()),
    });
    replica.replace({ items: [{ key: "a", value: "1", era: 1, revision: 5 }], era: 1, revision: 5 }, clock.now());
    const pass = async (milliseconds: number, connected: boolean) => {
        for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            if (connected) {
                replica.confirm(replica.position, clock.now());
            }
            await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
        }
    };
    return { replica, directory, clock, updater, pass };
}

// Guards against servers that are out of use since the store went away again before they could register.
test("a server that the copy lacks is kept while the store is away again, and removed after its return", async () => {
    const { replica, directory, clock, updater, pass } = createUpdater();
    await pass(1_000, true);
    replica.replace({ items: [], era: 2, revision: 4 }, clock.now());
    await pass(500, true);
    await pass(4_000, false);
    expect(directory.servers.has("a")).toBe(true);
    replica.replace({ items: [], era: 3, revision: 4 }, clock.now());
    await pass(1_500, true);
    expect(directory.servers.has("a")).toBe(true);
    await pass(1_000, true);
    expect(directory.servers.has("a")).toBe(false);
    updater.close();
});

// Guards against requests to a server that has left, which an instance delays the removal of after its own start.
test("a server that is removed just after the first read of the store is out of use at once", async () => {
    const { replica, directory, clock, updater, pass } = createUpdater();
    await pass(500, true);
    replica.apply([{ kind: "removed", key: "a", era: 1, revision: 6 }], { era: 1, revision: 6 }, clock.now());
    expect(directory.servers.has("a")).toBe(false);
    updater.close();
});

// Guards against requests to a server that has left, which instances delay the removal of after their readers' end.
test("a server that is removed while nobody reads the store is out of use with the next read", async () => {
    const { replica, directory, clock, updater, pass } = createUpdater();
    await pass(500, true);
    await pass(2_500, false);
    replica.replace({ items: [], era: 1, revision: 6 }, clock.now());
    expect(directory.servers.has("a")).toBe(false);
    updater.close();
});

// Guards against servers that are out of use for seconds since their entries expired while the store was away, and against
// requests to servers whose removal is delayed for longer than their entries take to come back.
test("a server whose entry expired in an outage is kept until entries would be back, however late it is seen", async () => {
    const { replica, directory, clock, updater, pass } = createUpdater();
    await pass(500, true);
    replica.times.recordFailure(clock.now());
    await pass(3_000, false);
    await pass(1_500, true);
    replica.apply([{ kind: "removed", key: "a", era: 1, revision: 6 }], { era: 1, revision: 6 }, clock.now());
    await pass(500, true);
    expect(directory.servers.has("a")).toBe(true);
    await pass(700, true);
    expect(directory.servers.has("a")).toBe(false);
    updater.close();
});

// Guards against requests to a server that left before an instance started, for seconds after a peer has told it so.
test("a server of the copy that has left, as a peer says, is out of use at once", async () => {
    const { replica, directory, clock, updater, pass } = createUpdater();
    await pass(500, true);
    const copied = { key: "b", value: "1", era: 2, revision: 4 };
    replica.replace({ items: [copied], era: 2, revision: 4 }, clock.now());
    expect(directory.servers.has("b")).toBe(true);
    const left = { key: "b", item: undefined, copiedRevision: 4, era: 1, revision: 7, until: clock.now() + 30_000 };
    replica.retain([left], replica.position, clock.now());
    expect(directory.servers.has("b")).toBe(false);
    updater.close();
});

// Guards against a read that begins before the doubt can end, and so confirms nothing, and against one for no reason.
test("a read is awaited 2 s after the store's return, until one that began then has ended", async () => {
    const { replica, clock, updater, pass } = createUpdater();
    expect(updater.awaitedReadAt).toBeUndefined();
    await pass(500, true);
    const returnedAt = clock.now();
    replica.replace({ items: [], era: 2, revision: 4 }, returnedAt);
    expect(updater.awaitedReadAt).toBe(returnedAt + 2_000);
    await pass(2_000, true);
    expect(updater.awaitedReadAt).toBe(returnedAt + 2_000);
    expect(updater.isCopyInDoubt).toBe(true);
    replica.confirm(replica.position, returnedAt + 2_000);
    expect(updater.awaitedReadAt).toBeUndefined();
    expect(updater.isCopyInDoubt).toBe(false);
    updater.close();
});
