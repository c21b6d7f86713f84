import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { LinkFault } from "./link_fault.ts";
import type { ProbeResult } from "./probe_result.ts";
import { ReachabilityMonitor } from "./reachability_monitor.ts";

/** Time in milliseconds after the first failure or the start of a call that hangs, by which isolation must be found. */
const FOUND_MILLISECONDS = 1_600;

/** How a server responds to new connections. `"refused"` fails at once, `"dropped"` fails after the time-out. */
type Behaviour = "answers" | "refused" | "dropped" | "silent";

/** Servers `a1`, `a2`, ... of the services `a`, `b`, in failure domains `1`, `2`, ... */
class FakeServers {
    readonly behaviours = new Map<string, Behaviour>();
    readonly probed: string[] = [];
    readonly changes: boolean[] = [];
    readonly metrics = new Metrics();
    readonly monitor: ReachabilityMonitor;

    constructor(ids: string[], private seed = 1) {
        this.setAll("answers", ids);
        this.monitor = new ReachabilityMonitor({
            servers: () =>
                [...this.behaviours.keys()].map(id =>
                    ({ id, service: id[0], failureDomain: id.slice(1) }) as RegisteredServer
                ),
            probe: server => this.#probe(server.id),
            clock: { now: () => performance.now() },
            logger: { info: () => {}, warn: () => {}, error: () => {} },
            metrics: this.metrics,
            random: () => (this.seed = this.seed * 16_807 % 2_147_483_647) / 2_147_483_647,
            poll: async () => {},
        });
        this.monitor.onChange(isIsolated => this.changes.push(isIsolated));
    }

    setAll(behaviour: Behaviour, ids: Iterable<string> = this.behaviours.keys()): void {
        [...ids].forEach(id => this.behaviours.set(id, behaviour));
    }

    async #probe(id: string): Promise<ProbeResult> {
        this.probed.push(id);
        const behaviour = this.behaviours.get(id);
        if (behaviour === "answers") {
            this.monitor.recordAnswer(id);
            return "answered";
        }
        await sleep(behaviour === "refused" ? 1 : 500);
        return behaviour === "silent" ? "silent" : "failed";
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
test.each<[Behaviour, LinkFault | "waiting", string]>([
    ["refused", "unreachable", "go on"],
    ["refused", "reset", "are silent"],
    ["dropped", "unreachable", "go on"],
    ["dropped", "timeout", "are silent"],
    ["silent", "timeout", "are silent"],
    ["dropped", "waiting", "are silent"],
    ["silent", "waiting", "are silent"],
])("links that are %s are found lost after a call was %s while old connections %s", async (form, cause, old) => {
    for (let seed = 1; seed <= 3; seed++) {
        const servers = new FakeServers(FLEET, seed);
        const { monitor } = servers;
        const traffic = setInterval(() => old === "go on" && FLEET.forEach(id => monitor.recordAnswer(id)), 20);
        monitor.recordAnswer("a1");
        expect(monitor.report()).toBe(true);
        servers.setAll(form);
        const call = monitor.beginCall("a1");
        if (cause !== "waiting") {
            monitor.endCall(call);
            monitor.recordFault("a1", cause);
        }
        await vi.advanceTimersByTimeAsync(FOUND_MILLISECONDS);
        monitor.endCall(call);
        expect([monitor.isIsolated, monitor.isSuspected, monitor.report()]).toEqual([true, true, false]);
        expect(new Set(servers.probed.slice(0, 6)).size).toBe(6);
        expect(await monitor.confirmLinks("a1")).toBe(false);
        await vi.advanceTimersByTimeAsync(5_000);
        expect(servers.changes).toEqual([true]);
        servers.setAll("answers");
        await vi.advanceTimersByTimeAsync(1_500);
        expect([...servers.changes, monitor.isSuspected, monitor.report()]).toEqual([true, false, false, true]);
        clearInterval(traffic);
        monitor.close();
    }
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
    for (let seed = 1; seed <= 200; seed++) {
        const servers = new FakeServers(ids, seed);
        const cut = ids.filter((_id, index) => (index * 7 + seed) % 12 < 6);
        servers.setAll("refused", cut);
        servers.monitor.recordFault(cut[0]!, "reset");
        await vi.advanceTimersByTimeAsync(100);
        expect(servers.changes).toEqual([]);
        servers.monitor.close();
    }
});

// Guards against busy servers that count as lost links, a finding that another one has put off, and isolation without end.
test.each<[string, string[], { form?: Behaviour; fault?: string; answer?: string; wait: number; }[], boolean[]]>([
    ["servers that answer requests but no probe in time are reached", FLEET, [
        { form: "silent", fault: "a1", wait: 300 },
        { answer: "b3", wait: FOUND_MILLISECONDS },
    ], []],
    ["links that are lost just after a finding are found lost a second later", FLEET, [
        { fault: "a1", wait: 100 },
        { form: "refused", fault: "a2", wait: 1_000 },
    ], [true]],
    ["isolation ends although one of two servers does not come back", ["a1", "a2"], [
        { form: "refused", fault: "a1", wait: 100 },
        { form: "answers", wait: 2_000 },
    ], [true, false]],
])("%s", async (_name, ids, steps, changes) => {
    const servers = new FakeServers(ids);
    for (const { form, fault, answer, wait } of steps) {
        servers.setAll(form ?? "answers", form === "answers" ? ["a2"] : ids);
        if (fault !== undefined) {
            servers.monitor.recordFault(fault, "reset");
        }
        if (answer !== undefined) {
            servers.setAll("silent");
            servers.monitor.recordAnswer(answer);
        }
        await vi.advanceTimersByTimeAsync(wait);
    }
    expect(servers.changes).toEqual(changes);
    servers.monitor.close();
});

// Guards against probes that cost servers work while all is well, or again and again for servers in trouble or slow answers.
test.each([
    { name: "while answers come soon", faulty: [] as string[], answerAfter: 100, least: 0, most: 0 },
    { name: "where one server is in trouble", faulty: ["a1"], answerAfter: 100, least: 6, most: 12 },
    { name: "where several are", faulty: ["a1", "a2", "b1"], answerAfter: 100, least: 6, most: 31 },
    { name: "where a lone call always takes long", faulty: [], answerAfter: 750, least: 6, most: 12 },
])("$name, $least to $most probes are sent in 30 s", async ({ faulty, answerAfter, least, most }) => {
    const servers = new FakeServers(FLEET);
    for (let time = 0; time < 30_000; time += answerAfter) {
        const id = FLEET[time / answerAfter % FLEET.length]!;
        const call = servers.monitor.beginCall(id);
        await vi.advanceTimersByTimeAsync(answerAfter);
        servers.monitor.endCall(call);
        servers.monitor.recordAnswer(id);
        const server = faulty[time / answerAfter % faulty.length];
        if (server !== undefined) {
            servers.monitor.recordFault(server, "reset");
        }
    }
    expect(servers.changes).toEqual([]);
    expect(servers.probed.length).toBeGreaterThanOrEqual(least);
    expect(servers.probed.length).toBeLessThanOrEqual(most);
    expect(servers.metrics.count("reachability_probes_total", { result: "answered" })).toBe(servers.probed.length);
    servers.monitor.close();
});

// Guards against a thawed process that calls itself isolated, or probes, because of time that passed while it stood still.
test.each([
    { hasFailed: false, after: 100, probes: 0 },
    ...[0, 250, 490, 700, 990].map(after => ({ hasFailed: true, after, probes: 20 })),
])(
    "a standstill $after ms after calls were sent does not isolate it ($hasFailed)",
    async ({ hasFailed, after, probes }) => {
        const servers = new FakeServers(FLEET);
        // What was sent before the standstill seems silent, what is sent later is answered.
        servers.setAll("silent");
        const call = servers.monitor.beginCall("b1");
        if (hasFailed) {
            servers.monitor.recordFault("a1", "timeout");
        }
        await vi.advanceTimersByTimeAsync(after);
        const realNow = performance.now.bind(performance);
        vi.spyOn(performance, "now").mockImplementation(() => realNow() + 5_000);
        servers.setAll("answers");
        await vi.advanceTimersByTimeAsync(600);
        servers.monitor.endCall(call);
        await vi.advanceTimersByTimeAsync(5_000);
        expect(servers.changes).toEqual([]);
        expect(servers.probed.length).toBeLessThanOrEqual(probes);
        vi.restoreAllMocks();
        servers.monitor.close();
    },
);

// Guards against ends of servers that are recorded because they could not be reached.
test("what was seen of a server is confirmed by a probe of another one, also within a pause", async () => {
    const servers = new FakeServers(FLEET);
    for (let time = 0; time < 3; time++) {
        expect(await servers.monitor.confirmLinks("a1")).toBe(true);
    }
    expect(servers.probed).not.toContain("a1");
    expect(servers.probed).toHaveLength(3);
    servers.setAll("refused");
    const confirmed = servers.monitor.confirmLinks("a1");
    await vi.advanceTimersByTimeAsync(10);
    expect(await confirmed).toBe(false);
    servers.monitor.close();
});
