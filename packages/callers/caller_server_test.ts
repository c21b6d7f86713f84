import { once } from "node:events";
import { Agent, get } from "node:http";
import { connect, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import { pollConnections } from "../connections/mod.ts";
import { PortBlock } from "../harness/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { MemoryBudget } from "../memory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { settingsSchema } from "../settings/mod.ts";
import { ActiveRequests } from "./active_requests.ts";
import { CallerServer } from "./caller_server.ts";
import type { ModelHandler } from "./model_handler.ts";
import type { ServiceHandler } from "./service_handler.ts";

/** Time in milliseconds in which a request is answered. */
const ANSWER_MILLISECONDS = 2_000;
const DRAIN_MILLISECONDS = 300;
/** Callers within the bound of connections, and those that come beyond it. */
const MAXIMUM_CONNECTIONS = 4;
const CALLERS_BEYOND = 20;
/** Time in milliseconds, longer than the one for which a connection must be idle before it is closed for another. */
const IDLE_MILLISECONDS = 1_500;
/** Time in milliseconds, longer than the idle limit of Node.js and its margin of 1 second. */
const BEYOND_IDLE_LIMIT_MILLISECONDS = 6_500;
/** Time in milliseconds by which a busy machine may be late; a port closed without a limit takes 2 seconds. */
const TOLERANCE_MILLISECONDS = 700;

let ports: PortBlock;
let server: CallerServer;
let callersAddress: string;
let notReadyReason: () => string | undefined;
let lines: Record<string, unknown>[];
let rejections: unknown[];
let formerListeners: NodeJS.UnhandledRejectionListener[];

beforeEach(async () => {
    formerListeners = process.listeners("unhandledRejection");
    process.removeAllListeners("unhandledRejection");
    rejections = [];
    process.on("unhandledRejection", error => rejections.push(error));
    ports = await PortBlock.reserve();
    callersAddress = `127.0.0.1:${ports.next()}`;
    lines = [];
    const log = (message: string, fields = {}) => lines.push({ message, ...fields });
    const logger = { info: log, warn: log, error: log };
    const metrics = new Metrics(logger);
    const invariants = new Invariants(metrics, logger, false);
    notReadyReason = () => undefined;
    server = new CallerServer({
        settings: settingsSchema.parse({
            name: "instance-1",
            failureDomain: "domain-1",
            callersAddress,
            instancesAddress: "127.0.0.1:1",
            storeAddress: "127.0.0.1:1",
            instanceListAddress: "127.0.0.1:1",
            secretFile: "secret",
            callers: { maximumConnections: MAXIMUM_CONNECTIONS },
        }),
        instanceId: "instance-1/0",
        configuration: new ConfigurationState(invariants),
        models: {} as ModelHandler,
        serviceHandler: { findRoute: () => undefined } as unknown as ServiceHandler,
        memory: new MemoryBudget(50_000_000),
        active: new ActiveRequests(),
        notReadyReason: () => notReadyReason(),
        keyedRequestRefusal: () => undefined,
        metrics,
        invariants,
        logger,
    });
    await server.listen();
});

afterEach(async () => {
    const closed = server.close();
    server.closeAllConnections();
    await closed;
    await ports.close();
    process.removeAllListeners("unhandledRejection");
    formerListeners.forEach(listener => process.on("unhandledRejection", listener));
});

async function read(path: string, agent: Agent): Promise<{ status: number | undefined; text: string; id: unknown; }> {
    const signal = AbortSignal.timeout(ANSWER_MILLISECONDS);
    const [response] = await once(get(`http://${callersAddress}${path}`, { agent, signal }), "response");
    let text = "";
    for await (const chunk of response) {
        text += String(chunk);
    }
    return { status: response.statusCode, text, id: response.headers["x-request-id"] };
}

// Guards against responses that stay open after an error that nobody catches.
test("a request that fails outside of its handling is answered, and its error is told with its id", async () => {
    const failure = new Error("planned");
    notReadyReason = () => {
        throw failure;
    };
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const { status, text, id } = await read("/readyz", agent);
    const next = await read("/healthz", agent);
    agent.destroy();
    expect(status).toBe(500);
    expect(JSON.parse(text)).toMatchObject({ error: { code: "internal-error", verdict: "may-have-run" } });
    expect(lines).toContainEqual({ message: "request failed", request: id, error: failure.stack });
    expect(rejections).toEqual([failure]);
    expect(next.status).toBe(200);
});

// Guards against shutdowns that pass their limit, since connections still arrive while the port is closed.
test("a port to which callers connect all the time is closed by the end of the drain", async () => {
    const [host, port] = callersAddress.split(":");
    let isOver = false;
    const callers = (async () => {
        while (!isOver) {
            // Each turn of the event loop accepts one connection, so that the queue never runs empty.
            Array.from({ length: 2 }, () => {
                const socket = connect({ host, port: Number(port) });
                socket.on("error", () => {});
                socket.on("connect", () => socket.destroy());
            });
            await setImmediate();
        }
    })();
    await sleep(50);
    const startedAt = monotonicMilliseconds();
    await server.closePort(startedAt + DRAIN_MILLISECONDS);
    const milliseconds = monotonicMilliseconds() - startedAt;
    isOver = true;
    await callers;
    expect(milliseconds).toBeLessThan(DRAIN_MILLISECONDS + TOLERANCE_MILLISECONDS);
});

/**
 * Opens a connection, sends a request and returns all that is received until the close; undefined if it is not opened.
 */
async function callAnew(onConnect = () => {}): Promise<string | undefined> {
    const [host, port] = callersAddress.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => {});
    socket.write("GET /v1/models HTTP/1.1\r\nHost: host\r\n\r\n");
    let text: string | undefined;
    socket.on("connect", () => {
        text = "";
        onConnect();
    });
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
    });
    await new Promise(resolve => socket.on("close", resolve));
    return text;
}

// Guards against callers beyond the bound that are closed without an answer, since requests are held.
test("callers beyond the bound of connections are answered while the port is closed", async () => {
    let isClosed = false;
    const closed = server.closePort(Number.POSITIVE_INFINITY).then(() => isClosed = true);
    const held = Array.from({ length: MAXIMUM_CONNECTIONS }, () => callAnew());
    const answers: { text: string; isEarly: boolean; }[] = [];
    const beyond: Promise<unknown>[] = [];
    // Each connects once the request of the one before has been read. Two turns without a connection lie in between, too few
    // for the port to be closed, however late this process is.
    const callNext = () => {
        if (beyond.length < CALLERS_BEYOND) {
            const answered = callAnew(() => pollConnections().then(callNext));
            beyond.push(answered.then(text => text !== undefined && answers.push({ text, isEarly: !isClosed })));
        }
    };
    callNext();
    await closed;
    await Promise.all(beyond);
    expect(answers).toHaveLength(CALLERS_BEYOND);
    // Those beyond the room for refusals too get an answer without a body.
    const refusal =
        /^HTTP\/1\.1 503 .*(too-many-connections|retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n$)/is;
    expect(answers.filter(({ text }) => !refusal.test(text))).toEqual([]);
    expect(answers.filter(({ text }) => !/\r\nconnection: close\r\n/i.test(text))).toEqual([]);
    expect(answers.some(({ isEarly }) => isEarly)).toBe(true);
    expect((await Promise.all(held)).map(text => text?.slice(0, 12))).toEqual(held.map(() => "HTTP/1.1 401"));
});

// Guards against callers that are refused since idle connections hold all places.
test("callers are served while the bound of connections is held by idle ones", async () => {
    const [host, port] = callersAddress.split(":");
    const sockets: Socket[] = [];
    let closed = 0;
    const callOnKeptConnection = async () => {
        const socket = connect({ host, port: Number(port) });
        socket.on("close", () => closed++);
        sockets.push(socket);
        socket.write("GET /v1/models HTTP/1.1\r\nHost: host\r\n\r\n");
        const [answer] = await once(socket, "data") as [Buffer];
        return String(answer).slice(0, 12);
    };
    const first = await Promise.all(Array.from({ length: MAXIMUM_CONNECTIONS }, callOnKeptConnection));
    await sleep(IDLE_MILLISECONDS);
    const answers = [];
    for (let caller = 1; caller <= MAXIMUM_CONNECTIONS; caller++) {
        answers.push(await callOnKeptConnection());
        // So few connections leave room for one that is being closed.
        while (closed < caller) {
            await setImmediate();
        }
    }
    sockets.forEach(socket => socket.destroy());
    // Without a key, a request that is not refused for its connection is answered 401.
    expect([...first, ...answers]).toEqual(sockets.map(() => "HTTP/1.1 401"));
});

// Guards against requests that are cut without an answer since their heads arrive slowly on a kept connection.
test("a request whose head takes longer than the idle limit is answered on its kept connection", async () => {
    const [host, port] = callersAddress.split(":");
    const request = "GET /v1/models HTTP/1.1\r\nHost: host\r\n\r\n";
    const socket = connect({ host, port: Number(port) });
    let text = "";
    socket.on("data", chunk => text += String(chunk));
    socket.write(request);
    await expect.poll(() => text).toMatch(/^HTTP\/1\.1 401 /);
    text = "";
    socket.write(request.slice(0, 10));
    await sleep(BEYOND_IDLE_LIMIT_MILLISECONDS);
    socket.write(request.slice(10));
    await expect.poll(() => text).toMatch(/^HTTP\/1\.1 401 /);
    socket.destroy();
});
