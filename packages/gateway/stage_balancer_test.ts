import { ok } from "neverthrow";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { ServerLoadTracker } from "./server_load_tracker.ts";
import { StageBalancer } from "./stage_balancer.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createBalancer() {
    const directory = new Directory();
    const engine = { memoryTokens: 1_000, stageChangeMilliseconds: 4_000 };
    const configuration = { version: 1, routes: [], services: [{ name: "models", engine }] };
    directory.apply({ kind: "configuration", configuration: configuration as never });
    const register = (id: string, startedAt: number) =>
        directory.apply({
            kind: "server",
            server: { id, startedAt, service: "models", stage: "decode", address: "127.0.0.1:1" } as RegisteredServer,
        });
    ["a", "b"].forEach(id => register(id, 1));
    const serverLoads = new ServerLoadTracker(directory);
    const orders: string[] = [];
    const send = async ({ id }: RegisteredServer, { path }: { path: string; }) => {
        if (path === "/order") {
            orders.push(id);
        }
        return ok({
            status: 200,
            headers: {},
            body: Object.assign(new PassThrough().end("{}"), { complete: true }),
            framing: "length",
            trailing: () => Buffer.alloc(0),
            wasReset: () => false,
        });
    };
    const balancer = new StageBalancer(
        {
            directory,
            serverLoads,
            serverClient: { send },
            leavingServers: { isLeaving: () => false },
            availability: { isUsable: () => true },
            stageWork: { prefillFraction: () => undefined },
            engineProtocol: {
                report: () => ({ method: "GET", path: "/report" }),
                parseReport: () => ({ stage: "decode", busy: false, sequence: 0 }),
                changeStage: () => ({ method: "POST", path: "/order", body: "{}" }),
            },
            headers: { expectedServer: "expect", requestId: "id" },
            clock: { now: () => performance.now() },
            metrics: new Metrics(),
            logger: { info: () => {}, warn: () => {}, error: () => {} },
        } as never,
        { fence: () => 1, resign: async () => {} } as never,
        "self",
    );
    return { balancer, serverLoads, orders, register };
}

// Guards against an engine that gets nothing from any instance for seconds, since it was ordered to change its stage before it
// started again under its id; its new process knows of no order.
test("a start of an engine after the order to its former one ends the change", async () => {
    const { balancer, serverLoads, orders, register } = createBalancer();
    const isAvoided = (id: string) => serverLoads.get(id).avoidedUntil > performance.now();
    while (orders.length === 0) {
        await vi.advanceTimersByTimeAsync(100);
    }
    const [id = ""] = orders;
    expect([balancer.changing(), isAvoided(id)]).toEqual([[id], true]);
    // A heartbeat of the same process ends nothing.
    register(id, 1);
    expect([balancer.changing(), isAvoided(id)]).toEqual([[id], true]);
    register(id, 2);
    expect([balancer.changing(), isAvoided(id)]).toEqual([[], false]);
    const closed = balancer.close();
    await vi.advanceTimersByTimeAsync(1_000);
    await closed;
});
