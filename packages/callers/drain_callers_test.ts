import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import { ConfigurationState, type Route } from "../configuration/mod.ts";
import { PortBlock } from "../harness/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { MemoryBudget } from "../memory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { settingsSchema } from "../settings/mod.ts";
import type { Exchange } from "./_exchange.ts";
import { ActiveRequests } from "./active_requests.ts";
import { CallerServer } from "./caller_server.ts";
import { drainCallers } from "./drain_callers.ts";
import type { ModelHandler } from "./model_handler.ts";
import type { ServiceHandler } from "./service_handler.ts";

const CALLERS_BEFORE = 4;
const CALLERS = 24;
const ANSWER = "answer";
const LIMIT_MILLISECONDS = 60_000;

let ports: PortBlock;
let server: CallerServer;
let active: ActiveRequests;
let callersAddress: string;
/** Paths of the requests that have run. */
let paths: Set<string>;
/** Has a request that runs answered, by its path. */
let answer: Map<string, () => void>;
let ignoresAbort: boolean;
const logger = { info: () => {}, warn: () => {}, error: () => {} };

/** Runs a request until it is to be answered, or is aborted. */
async function run(exchange: Exchange): Promise<unknown> {
    paths.add(exchange.path);
    const isAnswered = new Promise<boolean>(resolve => answer.set(exchange.path, () => resolve(true)));
    const isAborted = new Promise<boolean>(resolve => exchange.signal.addEventListener("abort", () => resolve(false)));
    if (await (ignoresAbort ? isAnswered : Promise.race([isAnswered, isAborted]))) {
        exchange.response.end(ANSWER);
        return undefined;
    }
    // A request that is aborted is stopped at its server first.
    await sleep(1);
    return exchange.signal.reason;
}

beforeEach(async () => {
    ports = await PortBlock.reserve();
    callersAddress = `127.0.0.1:${ports.next()}`;
    const metrics = new Metrics(logger);
    const invariants = new Invariants(metrics, logger, false);
    active = new ActiveRequests();
    paths = new Set();
    answer = new Map();
    ignoresAbort = false;
    const route = { open: true } as Route;
    server = new CallerServer({
        settings: settingsSchema.parse({
            name: "instance-1",
            failureDomain: "domain-1",
            callersAddress,
            instancesAddress: "127.0.0.1:1",
            storeAddress: "127.0.0.1:1",
            instanceListAddress: "127.0.0.1:1",
            secretFile: "secret",
        }),
        instanceId: "instance-1/0",
        configuration: new ConfigurationState(invariants),
        models: {} as ModelHandler,
        serviceHandler: { findRoute: () => ({ name: "news", route }), handle: run } as unknown as ServiceHandler,
        memory: new MemoryBudget(50_000_000),
        active,
        notReadyReason: () => "shutting down",
        keyedRequestRefusal: () => undefined,
        metrics,
        invariants,
        logger,
    });
    await server.listen();
});

afterEach(async () => {
    server.closeAllConnections();
    answer.forEach(end => end());
    await ports.close();
});

/** Opens a connection, of which the caller closes its side only by itself, and waits until the server has accepted it. */
async function open(allowHalfOpen = false): Promise<Socket> {
    const [host, port] = callersAddress.split(":");
    const socket = connect({ host, port: Number(port), allowHalfOpen });
    socket.on("error", () => {});
    socket.write(requestOf("/healthz"));
    await once(socket, "data");
    return socket;
}

function requestOf(path: string): string {
    return `GET ${path} HTTP/1.1\r\nHost: host\r\n\r\n`;
}

/** Sends a request and returns what is received until the connection is closed. */
async function call(socket: Socket, path: string): Promise<{ path: string; text: string; }> {
    let text = "";
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
    });
    socket.write(requestOf(path));
    await once(socket, "close");
    return { path, text };
}

function verdictOf(text: string): string {
    return /^HTTP\/1\.1 503 .*"code":"shutting-down","verdict":"([a-z-]+)"/s.exec(text)?.[1] ?? `no refusal: "${text}"`;
}

// Guards against callers whose requests are held until the drain limit, and who are then closed without an answer.
test("callers whose requests are held until the drain limit, and those before, are refused truly", async () => {
    const sockets = await Promise.all(Array.from({ length: CALLERS }, () => open()));
    const before = sockets.slice(0, CALLERS_BEFORE).map((socket, index) => call(socket, `/before/${index}`));
    await expect.poll(() => paths.size).toBe(CALLERS_BEFORE);
    // The limit is over when the port has been closed.
    const drained = drainCallers(server, active, monotonicMilliseconds(), logger);
    const held = sockets.slice(CALLERS_BEFORE).map((socket, index) => call(socket, `/held/${index}`));
    await drained;
    const answers = await Promise.all([...before, ...held]);
    expect(answers.map(({ path, text }) => [path, verdictOf(text)])).toEqual(
        answers.map(({ path }) => [path, paths.has(path) ? "may-have-run" : "not-run"]),
    );
    expect(paths.size).toBe(CALLERS_BEFORE);
});

// Guards against shutdowns that do not end, since requests do not end when they are aborted.
test("the connections of requests that go on after the drain limit are closed, and the drain ends", async () => {
    ignoresAbort = true;
    const caller = call(await open(), "/endless");
    await expect.poll(() => paths.size).toBe(1);
    const drained = drainCallers(server, active, monotonicMilliseconds(), logger);
    expect((await caller).text).toBe("");
    // It has not ended.
    await drained;
    expect(active.size).toBe(1);
    answer.get("/endless")?.();
});

// Guards against callers who are reset, and may lose their last answer, since Node.js takes their connection for idle.
test("a connection whose input is discarded after its last answer is not reset as the last request ends", async () => {
    const sender = await open(true);
    const other = await open();
    const errors: Error[] = [];
    sender.on("error", error => errors.push(error));
    const drained = drainCallers(server, active, monotonicMilliseconds() + LIMIT_MILLISECONDS, logger);
    const sent = call(sender, "/sender");
    const answered = once(sender, "end");
    const last = call(other, "/other");
    await expect.poll(() => paths.size).toBe(2);
    sender.write(requestOf("/discarded"));
    answer.get("/sender")?.();
    await answered;
    // Arrives unread at the moment at which the last request ends.
    sender.write(requestOf("/discarded"));
    answer.get("/other")?.();
    expect((await last).text).toContain(ANSWER);
    // A connection that has been reset takes nothing more.
    sender.end(requestOf("/discarded"));
    expect((await sent).text).toMatch(new RegExp(`connection: close.*${ANSWER}`, "is"));
    expect(errors).toEqual([]);
    expect(paths).toEqual(new Set(["/sender", "/other"]));
    await drained;
});
