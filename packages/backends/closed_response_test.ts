import { createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { BackendConnectionPool } from "./backend_connection_pool.ts";
import type { BackendResponse } from "./backend_response.ts";
import { readResponseBody } from "./read_response_body.ts";

const TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_BYTES = 1_000;
const PART = "part of the answer";
const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await new Promise<void>(resolve => server?.close(() => resolve()) ?? resolve());
});

/** Starts a server that answers the first read of a connection with a part, and ends its side after it or not. */
async function listen(ends: boolean): Promise<string> {
    const started = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("data", () => ends ? socket.end(HEAD + PART) : socket.write(HEAD + PART));
    });
    server = started;
    await new Promise<void>(resolve => started.listen(0, "127.0.0.1", resolve));
    const address = started.address();
    return `127.0.0.1:${typeof address === "object" ? address?.port : 0}`;
}

interface Call {
    pool: BackendConnectionPool;
    abort: AbortController;
    response: BackendResponse;
}

const CLOSES: [name: string, close: (call: Call) => void][] = [
    ["its request is given up", ({ abort }) => abort.abort()],
    ["the pool is closed", ({ pool }) => pool.close()],
    ["the response is closed", ({ response }) => response.close()],
];

// Guards against a part of an answer that is taken for the whole, since this side closes the connection before its end.
test.each(CLOSES)(
    "an answer without a length is not whole if %s before its connection has ended",
    async (_name, close) => {
        for (const ends of [false, true]) {
            const address = await listen(ends);
            const pool = new BackendConnectionPool();
            const abort = new AbortController();
            const sent = await pool.send({
                address,
                method: "GET",
                path: "/",
                headers: ["Host", address],
                timeoutMilliseconds: TIMEOUT_MILLISECONDS,
                signal: abort.signal,
            });
            const response = sent._unsafeUnwrap();
            response.body.once("data", () => setImmediate(() => close({ pool, abort, response })));
            expect(await readResponseBody(response, TIMEOUT_MILLISECONDS, MAXIMUM_BYTES)).toBeUndefined();
            pool.close();
            server?.close();
        }
    },
);
