import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

const RESPONSE_TIMEOUT_MILLISECONDS = 500;
/** Time in milliseconds for which this process stands still, in which the server's answer arrives. */
const STANDSTILL_MILLISECONDS = 1_500;
const SERVER = `
const server = require("node:http").createServer(({ url }, response) => {
    if (url === "/soon") { setTimeout(() => response.end("answer"), 100); }
});
server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

const pool = new BackendConnectionPool();

afterAll(() => pool.close());

// Guards against requests that are lost since the send to their server throws instead of failing.
test.each([
    ["a port out of range", { address: "127.0.0.1:99999" }],
    ["a header with a line break", { headers: ["X-Id", "a\nb"] }],
    ["a path with a space", { path: "/a b" }],
    ["a method with a space", { method: "A B" }],
])("a send with %s fails as not run", async (_name, changes) => {
    const response = await pool.send({
        address: "127.0.0.1:9",
        method: "GET",
        path: "/",
        headers: [],
        timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
        ...changes,
    });
    expect(response._unsafeUnwrapErr()).toMatchObject({ kind: "unreachable", verdict: "not-run", portClosed: false });
});

// Guards against answers that are given up although they have arrived while the process stood still, since timers come first
// in a turn of the event loop; and against requests that are never given up.
test.each([
    { path: "/soon", expected: "200" },
    { path: "/never", expected: "timeout may-have-run" },
])(
    "after a standstill longer than its time-out, a request of $path ends with $expected",
    async ({ path, expected }) => {
        const child = spawn(process.execPath, ["-e", SERVER]);
        const [port] = await once(child.stdout, "data") as [Buffer];
        const address = `127.0.0.1:${port.toString().trim()}`;
        const options = { address, method: "GET", headers: ["Host", address], timeoutMilliseconds: 5_000 };
        // Leaves a connection, so that the request is sent before the standstill.
        const first = (await pool.send({ ...options, path: "/soon" }))._unsafeUnwrap();
        await once(first.body.resume(), "end");
        const sent = pool.send({ ...options, path, timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS });
        await new Promise(resolve => setImmediate(resolve));
        const until = monotonicMilliseconds() + STANDSTILL_MILLISECONDS;
        while (monotonicMilliseconds() < until) {
            // Nothing is polled meanwhile.
        }
        const outcome = await sent;
        child.kill();
        expect(outcome.match(({ status }) => String(status), ({ kind, verdict }) => `${kind} ${verdict}`)).toBe(
            expected,
        );
    },
);

// Guards against probes of a link that only show that an old connection still lives, and against a source that is not used.
test("requests come from the source address, and on new connections if they ask for one", async () => {
    const sources: string[] = [];
    const server = createServer(({ socket }, response) => {
        sources.push(`${socket.remoteAddress} ${socket.remotePort}`);
        response.end();
    });
    await once(server.listen(0, "127.0.0.1"), "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const ownPool = new BackendConnectionPool("127.0.0.2");
    for (const newConnection of [false, false, true, false]) {
        const request = { address, method: "GET", path: "/", headers: ["Host", address], timeoutMilliseconds: 5_000 };
        const response = (await ownPool.send({ ...request, newConnection }))._unsafeUnwrap();
        await once(response.body.resume(), "close");
    }
    ownPool.close();
    server.close();
    expect(sources.every(source => source.startsWith("127.0.0.2 "))).toBe(true);
    const [first, second, probe, fourth] = sources;
    expect([second, fourth]).toEqual([first, first]);
    expect(probe).not.toBe(first);
});
