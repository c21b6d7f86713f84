import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setImmediate } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { PortCloser } from "./port_closer.ts";

const CALLERS = 60;
const LONG_TURN_MILLISECONDS = 5;
/** Time in milliseconds for which turns are long; less than the closer waits for a brief one. */
const LONG_TURNS_MILLISECONDS = 220;
/** Connections that fit into the kernel's queue. */
const BACKLOG = 1_024;

let server: Server;
let closer: PortCloser;
let port: number;
let lines: Record<string, unknown>[];

beforeEach(async () => {
    server = createServer(async (_request, response) => {
        response.shouldKeepAlive = false;
        if (closer.isClosing) {
            await closer.hold();
        }
        response.end("answer");
    });
    lines = [];
    const log = (message: string, fields = {}) => lines.push({ message, ...fields });
    closer = new PortCloser(server, { info: log, warn: log, error: log });
    server.listen({ port: 0, host: "127.0.0.1", backlog: BACKLOG });
    await once(server, "listening");
    port = (server.address() as AddressInfo).port;
});

afterEach(() => {
    server.close();
    server.closeAllConnections();
});

/** Connects, sends a request and waits for the end of the connection. */
async function call(sendAfterMilliseconds = 0, onConnect = () => {}): Promise<string> {
    const socket = connect(port, "127.0.0.1");
    let connected = false;
    let text = "";
    socket.on("connect", () => {
        connected = true;
        onConnect();
        const send = () => socket.write("GET / HTTP/1.1\r\nHost: host\r\n\r\n");
        void (sendAfterMilliseconds > 0 ? sleep(sendAfterMilliseconds).then(send) : send());
    });
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
    });
    socket.on("error", () => {});
    await new Promise(resolve => socket.on("close", resolve));
    if (!connected) {
        return "not connected";
    }
    return text.endsWith("answer") ? "answered" : "connected, not answered";
}

async function callUntilRefused(outcomes: Set<string>): Promise<void> {
    for (let outcome = ""; outcome !== "not connected";) {
        outcome = await call();
        outcomes.add(outcome);
    }
}

// Guards against requests that are reset since their connections wait in the kernel's queue when the port is closed.
test("connections that wait to be accepted when their port is closed are answered", async () => {
    let connected = 0;
    const calls = Array.from({ length: CALLERS }, () => call(0, () => connected++));
    while (connected === 0) {
        await setImmediate();
    }
    await closer.close(() => Number.POSITIVE_INFINITY);
    expect(new Set(await Promise.all(calls))).toEqual(new Set(["answered"]));
    expect(lines).toMatchObject([{ message: "port of callers closed", queueSeenEmpty: true }]);
    expect(lines[0]?.["connections"]).toBeGreaterThan(1);
    expect(await call()).toBe("not connected");
});

// Guards against a queue that never runs empty, since each answer is followed by a connection of the same caller.
test("callers that connect anew for each request get an answer or no connection while the port is closed", async () => {
    const outcomes = new Set<string>();
    const callers = Array.from({ length: CALLERS }, () => callUntilRefused(outcomes));
    await sleep(100);
    await closer.close(() => Number.POSITIVE_INFINITY);
    await Promise.all(callers);
    expect(outcomes).toEqual(new Set(["answered", "not connected"]));
    expect(lines).toMatchObject([{ message: "port of callers closed", queueSeenEmpty: true }]);
    expect(lines[0]?.["requestsHeld"]).toBeGreaterThan(0);
});

// Guards against requests that are lost since they are sent after their connection was accepted and the port closed.
test("a connection whose request is sent after the close of the port is answered", async () => {
    let connected = false;
    const answer = call(500, () => connected = true);
    while (!connected) {
        await setImmediate();
    }
    await closer.close(() => Number.POSITIVE_INFINITY);
    expect(closer.isClosing).toBe(false);
    expect(await answer).toBe("answered");
});

// Guards against shutdowns that do not end, since connections arrive all the time.
test("a port is closed although connections never cease to arrive", async () => {
    let over = false;
    const flood = (async () => {
        const calls: Promise<string>[] = [];
        while (!over) {
            calls.push(call());
            await sleep(2);
        }
        return await Promise.all(calls);
    })();
    await sleep(50);
    await closer.close(() => Number.POSITIVE_INFINITY);
    over = true;
    const outcomes = await flood;
    expect(lines[0]?.["requestsHeld"]).toBeGreaterThan(0);
    expect(outcomes).toContain("answered");
});

// Guards against connections that are reset since they arrive in the turn of the event loop that ends with the close.
test("callers that connect while the turns of the event loop are long are answered or refused", async () => {
    const errors: (string | undefined)[] = [];
    const until = performance.now() + LONG_TURNS_MILLISECONDS;
    const takeLongTurns = async () => {
        for (let turn = 0; performance.now() < until; turn++) {
            // Three turns without a connection lie between two with one.
            if (turn % 4 === 0) {
                const socket = connect(port, "127.0.0.1", () => socket.end("GET / HTTP/1.1\r\nHost: host\r\n\r\n"));
                socket.on("error", (error: NodeJS.ErrnoException) => errors.push(error.code));
                socket.resume();
            }
            const turnEnd = performance.now() + LONG_TURN_MILLISECONDS;
            while (performance.now() < turnEnd) {
                // Nothing is polled meanwhile.
            }
            await setImmediate();
        }
    };
    await Promise.all([takeLongTurns(), closer.close(() => Number.POSITIVE_INFINITY)]);
    await sleep(50);
    expect(errors.filter(code => code !== "ECONNREFUSED")).toEqual([]);
    expect(lines).toMatchObject([{ message: "port of callers closed", queueSeenEmpty: true }]);
});

// Guards against requests that are held until the latest time, since no turn counts as quiet where each takes a while.
test.each([25, 60])("a port to which nobody connects is closed soon although each turn takes %d ms", async turn => {
    let over = false;
    const takeLongTurns = async () => {
        while (!over) {
            const turnEnd = performance.now() + turn;
            while (performance.now() < turnEnd) {
                // Nothing is polled meanwhile.
            }
            await setImmediate();
        }
    };
    const turns = takeLongTurns();
    const latest = performance.now() + 10_000;
    await closer.close(() => latest);
    over = true;
    await turns;
    expect(performance.now()).toBeLessThan(latest - 5_000);
    expect(lines).toMatchObject([{ message: "port of callers closed", queueSeenEmpty: true }]);
}, 30_000);
