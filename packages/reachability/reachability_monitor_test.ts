import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { LinkFault } from "./link_fault.ts";
import type { ProbeResult } from "./probe_result.ts";
import { ReachabilityMonitor } from "./reachability_monitor.ts";

const TIMEOUT_MILLISECONDS = 500;
/** Time in milliseconds after the first failure or the start of a call that hangs, by which isolation must be found. */
const FOUND_MILLISECONDS = 1_600;

/** How a server responds to new connections. `"refused"` fails at once, `"dropped"` fails after the time-out. */
type Behaviour = "answers" | "refused" | "dropped" | "silent";

/** Servers `a1`, `a2`, ... of the services `a`, `b`, in failure domains `1`, `2`, ... */
class FakeServers {
    readonly behaviours = new Map<string, Behaviour>();
    readonly probed: { id: string; at: number; }[] = [];
    readonly lines: { message: string; fields: Record<string, unknown> | undefined; }[] = [];
    readonly changes: boolean[] = [];
    readonly metrics = new Metrics();
    readonly monitor: ReachabilityMonitor;
    #seed: number;

    constructor(ids: string[], seed = 1) {
        this.#seed = seed;
        ids.forEach(id => this.behaviours.set(id, "answers"));
        const log = (message: string, fields?: Record<string, unknown>) => void this.lines.push({ message, fields });
        this.monitor = new ReachabilityMonitor({
            servers: () =>
                [...this.behaviours.keys()].map(id =>
                    ({ id, service: id[0], failureDomain: id.slice(1) }) as RegisteredServer
                ),
            probe: server => this.#probe(server.id),
            clock: { now: () => performance.now() },
            logger: { info: log, warn: log, error: log },
            metrics: this.metrics,
            random: () => this.#draw(),
            poll: async () => {},
        });
        this.monitor.onChange(isIsolated => this.changes.push(isIsolated));
    }

    setAll(behaviour: Behaviour, ids: Iterable<string> = this.behaviours.keys()): void {
        [...ids].forEach(id => this.behaviours.set(id, behaviour));
    }

    messages(): string[] {
        return this.lines.map(({ message }) => message);
    }

    async #probe(id: string): Promise<ProbeResult> {
        this.probed.push({ id, at: performance.now() });
        const behaviour = this.behaviours.get(id);
        if (behaviour === "answers") {
            this.monitor.recordAnswer(id);
            return "answered";
        }
        await sleep(behaviour === "refused" ? 1 : TIMEOUT_MILLISECONDS);
        return behaviour === "silent" ? "silent" : "failed";
    }

    #draw(): number {
        this.#seed = this.#seed * 16_807 % 2_147_483_647;
        return this.#seed / 2_147_483_647;
    }
}

const FLEET = ["a1", "a2", "a3", "b1", "b2", "b3"];

beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(1_000_000);
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against instances that keep requests to themselves while they reach no server, in each form of the trouble.
test.each<[Behaviour, LinkFault | "waiting", number[]]>([
    ["refused", "unreachable", [1, 2, 3]],
    ["refused", "reset", [1, 2, 3, 4]],
    ["dropped", "timeout", [1, 2, 3]],
    ["silent", "timeout", [1, 2, 3]],
    ["dropped", "waiting", [1, 2, 3]],
    ["silent", "waiting", [1, 2, 3]],
])("links that are %s are found lost after a call was %s, and regained", async (behaviour, cause, seeds) => {
    for (const seed of seeds) {
        const servers = new FakeServers(FLEET, seed);
        servers.monitor.recordAnswer("a1");
        expect(servers.monitor.report()).toBe(true);
        servers.setAll(behaviour);
        const call = servers.monitor.beginCall("a1");
        if (cause !== "waiting") {
            servers.monitor.endCall(call);
            servers.monitor.recordFault("a1", cause);
        }
        await vi.advanceTimersByTimeAsync(FOUND_MILLISECONDS);
        servers.monitor.endCall(call);
        expect([servers.monitor.isIsolated, servers.monitor.isSuspected]).toEqual([true, true]);
        expect(servers.monitor.report()).toBe(false);
        expect(new Set(servers.probed.slice(0, 4).map(({ id }) => id)).size).toBe(4);
        expect(await servers.monitor.confirmLinks("a1")).toBe(false);
        await vi.advanceTimersByTimeAsync(5_000);
        expect(servers.monitor.isIsolated).toBe(true);
        servers.setAll("answers");
        await vi.advanceTimersByTimeAsync(1_500);
        expect(servers.changes).toEqual([true, false]);
        expect(servers.messages()).toEqual(["links to servers lost", "links to servers regained"]);
        expect(servers.monitor.report()).toBe(true);
        servers.monitor.close();
    }
});

// Guards against an instance that cannot connect but counts as linked since its old connections live on.
test("old connections that answer do not hide that new ones are refused", async () => {
    const servers = new FakeServers(FLEET);
    const traffic = setInterval(() => FLEET.forEach(id => servers.monitor.recordAnswer(id)), 20);
    servers.setAll("dropped");
    servers.monitor.recordFault("b2", "unreachable");
    await vi.advanceTimersByTimeAsync(FOUND_MILLISECONDS);
    expect(servers.monitor.isIsolated).toBe(true);
    clearInterval(traffic);
    servers.monitor.close();
});

// Guards against requests that are passed on although servers can be reached: fewer servers than all are in trouble.
test.each<[string, Partial<Record<string, Behaviour>>, string[]]>([
    ["one server has crashed", { a1: "refused" }, FLEET],
    ["one server is silent", { a1: "silent" }, FLEET],
    ["a service has crashed", { a1: "refused", a2: "refused", a3: "refused" }, FLEET],
    ["a failure domain is cut off", { a1: "dropped", b1: "dropped" }, FLEET],
    ["all but two servers are cut off", { a1: "dropped", a2: "dropped", a3: "dropped", b1: "dropped" }, FLEET],
    ["one of two has crashed", { a1: "refused" }, ["a1", "a2"]],
    ["the only server has crashed", { a1: "refused" }, ["a1"]],
    ["no server is registered", {}, []],
])("where %s, the instance is not isolated", async (_name, troubled, ids) => {
    for (let seed = 1; seed <= 20; seed++) {
        const servers = new FakeServers(ids, seed);
        Object.entries(troubled).forEach(([id, behaviour]) => servers.behaviours.set(id, behaviour!));
        const sound = ids.filter(id => !(id in troubled));
        // An instance without requests learns nothing of the servers that answer.
        const answering = seed % 2 === 0 ? sound : [];
        // Those in trouble fail.
        const traffic = setInterval(() => {
            answering.forEach(id => servers.monitor.recordAnswer(id));
            Object.keys(troubled).forEach(id => servers.monitor.recordFault(id, "timeout"));
        }, 300);
        await vi.advanceTimersByTimeAsync(20_000);
        expect(servers.changes).toEqual([]);
        clearInterval(traffic);
        servers.monitor.close();
    }
});

// Guards against an instance without requests that takes a part of the servers for all of them.
test("one failed call shows no isolation while half of the servers can be reached", async () => {
    const ids = [1, 2, 3, 4].flatMap(domain => ["a", "b", "c"].map(service => `${service}${domain}`));
    const isolated: number[] = [];
    for (let seed = 1; seed <= 200; seed++) {
        const servers = new FakeServers(ids, seed);
        const cut = ids.filter((_id, index) => (index * 7 + seed) % 12 < 6);
        servers.setAll("refused", cut);
        servers.monitor.recordFault(cut[0]!, "reset");
        await vi.advanceTimersByTimeAsync(100);
        if (servers.monitor.isIsolated) {
            isolated.push(seed);
        }
        servers.monitor.close();
    }
    expect(isolated).toEqual([]);
});

// Guards against busy servers that count as lost links: connections stand, and answers come late.
test("servers that answer requests but no probe in time do not isolate the instance", async () => {
    const servers = new FakeServers(FLEET);
    servers.setAll("silent");
    servers.monitor.recordFault("a1", "timeout");
    await vi.advanceTimersByTimeAsync(300);
    servers.monitor.recordAnswer("b3");
    await vi.advanceTimersByTimeAsync(FOUND_MILLISECONDS);
    expect(servers.changes).toEqual([]);
    servers.monitor.close();
});

// Guards against probes that cost servers work while all is well, or again and again for one server in trouble.
test("nothing is probed without a suspicion, and rarely while findings show that the links stand", async () => {
    const servers = new FakeServers(FLEET);
    const traffic = setInterval(() => {
        const call = servers.monitor.beginCall("a1");
        servers.monitor.recordAnswer("a1");
        servers.monitor.endCall(call);
    }, 700);
    await vi.advanceTimersByTimeAsync(30_000);
    expect(servers.probed).toEqual([]);
    clearInterval(traffic);
    for (const [faulty, most] of [[["a1"], 12], [["a1", "a2", "b1"], 31]] as const) {
        const before = servers.probed.length;
        for (let fault = 0; fault < 300; fault++) {
            servers.monitor.recordFault(faulty[fault % faulty.length]!, "reset");
            await vi.advanceTimersByTimeAsync(100);
        }
        expect(servers.probed.length - before).toBeLessThanOrEqual(most);
        expect(servers.probed.length - before).toBeGreaterThan(5);
    }
    // An instance with few requests, whose answers take long.
    const probedBefore = servers.probed.length;
    for (let call = 0; call < 40; call++) {
        const id = FLEET[call % FLEET.length]!;
        const waiting = servers.monitor.beginCall(id);
        await vi.advanceTimersByTimeAsync(750);
        servers.monitor.endCall(waiting);
        servers.monitor.recordAnswer(id);
    }
    expect(servers.probed.length - probedBefore).toBeLessThanOrEqual(12);
    expect(servers.probed.length - probedBefore).toBeGreaterThan(5);
    expect(servers.changes).toEqual([]);
    expect(servers.metrics.count("reachability_probes_total", { result: "answered" })).toBe(servers.probed.length);
    servers.monitor.close();
});

// Guards against a finding that is put off since another one has just shown that the links stood.
test("links that are lost just after a finding are found lost about a second later", async () => {
    const servers = new FakeServers(FLEET);
    servers.monitor.recordFault("a1", "reset");
    await vi.advanceTimersByTimeAsync(100);
    servers.setAll("refused");
    servers.monitor.recordFault("a2", "reset");
    await vi.advanceTimersByTimeAsync(1_000);
    expect(servers.changes).toEqual([true]);
    servers.monitor.close();
});

// Guards against a thawed process that calls itself isolated because of time-outs that have passed while it stood still.
test.each([0, 250, 490, 700, 990])("a standstill %i ms after a suspicion does not isolate it", async milliseconds => {
    const servers = new FakeServers(FLEET);
    // What was sent before the standstill seems silent, what is sent later is answered.
    servers.setAll("silent");
    servers.monitor.beginCall("b1");
    servers.monitor.recordFault("a1", "timeout");
    await vi.advanceTimersByTimeAsync(milliseconds);
    const realNow = performance.now.bind(performance);
    vi.spyOn(performance, "now").mockImplementation(() => realNow() + 5_000);
    servers.setAll("answers");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(servers.changes).toEqual([]);
    vi.restoreAllMocks();
    servers.monitor.close();
});

// Guards against a probe by each thawed process, since its calls count as having waited while it stood still.
test("calls that were sent just before a standstill have not waited for long after it", async () => {
    const servers = new FakeServers(FLEET);
    const call = servers.monitor.beginCall("a1");
    await vi.advanceTimersByTimeAsync(100);
    const realNow = performance.now.bind(performance);
    vi.spyOn(performance, "now").mockImplementation(() => realNow() + 5_000);
    await vi.advanceTimersByTimeAsync(600);
    servers.monitor.endCall(call);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(servers.probed).toEqual([]);
    vi.restoreAllMocks();
    servers.monitor.close();
});

// Guards against isolation that lasts since one of few servers has ended meanwhile.
test("isolation ends although one of two servers does not come back", async () => {
    const servers = new FakeServers(["a1", "a2"]);
    servers.setAll("refused");
    servers.monitor.recordFault("a1", "reset");
    await vi.advanceTimersByTimeAsync(100);
    expect(servers.changes).toEqual([true]);
    servers.setAll("answers", ["a2"]);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(servers.changes).toEqual([true, false]);
    servers.monitor.close();
});

// Guards against ends of servers that are recorded because they could not be reached.
test("what was seen of a server is confirmed by a probe of another one, also within a pause", async () => {
    const servers = new FakeServers(FLEET);
    for (let time = 0; time < 3; time++) {
        expect(await servers.monitor.confirmLinks("a1")).toBe(true);
    }
    expect(servers.probed.map(({ id }) => id)).not.toContain("a1");
    expect(servers.probed).toHaveLength(3);
    servers.setAll("refused");
    const confirmed = servers.monitor.confirmLinks("a1");
    await vi.advanceTimersByTimeAsync(10);
    expect(await confirmed).toBe(false);
    servers.monitor.close();
});
