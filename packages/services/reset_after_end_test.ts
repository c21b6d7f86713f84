import { createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { BackendConnectionPool, readResponseBody } from "../backends/mod.ts";
import { callService } from "./mod.ts";

const TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_BYTES = 1_000;
const PART = "part of the answer";
/** Times in milliseconds between the end of a server's side and its reset. */
const PAUSES = [0, 1, 5, 20];
const UPLOADS = [0, 100, 400_000];

let server: Server | undefined;
const sockets = new Set<Socket>();
const pool = new BackendConnectionPool();

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await new Promise<void>(resolve => server?.close(() => resolve()) ?? resolve());
    pool.close();
});

/** Starts a server that answers the first read of a connection and ends its side; it resets the connection after a pause, if any. */
async function listen(bytes: string, pause: number | undefined): Promise<string> {
    const started = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("data", () => {
            socket.end(bytes);
            if (pause !== undefined) {
                setTimeout(() => socket.resetAndDestroy(), pause);
            }
        });
    });
    server = started;
    await new Promise<void>(resolve => started.listen(0, "127.0.0.1", resolve));
    const address = started.address();
    return `127.0.0.1:${typeof address === "object" ? address?.port : 0}`;
}

async function readByPool(address: string, body: Buffer): Promise<string | undefined> {
    const response = await pool.send({
        address,
        method: "POST",
        path: "/",
        headers: ["Host", address],
        body,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    const read = response.isOk() && await readResponseBody(response.value, TIMEOUT_MILLISECONDS, MAXIMUM_BYTES);
    return read ? read.toString() : undefined;
}

async function readByService(address: string, body: Buffer): Promise<string | undefined> {
    const response = await callService(address, { method: "POST", path: "/", headers: {}, body }, TIMEOUT_MILLISECONDS);
    return response.match(value => value.body.toString(), () => undefined);
}

const FRAMINGS = [
    ["without a length", "", PART],
    ["with another coding than chunks", "Transfer-Encoding: gzip\r\n", PART],
    ["with another coding that ends like chunks", "Transfer-Encoding: gzip chunked\r\n", PART],
    ["with a length", "Content-Length: 100\r\n", PART],
    ["in chunks", "Transfer-Encoding: chunked\r\n", `${PART.length.toString(16)}\r\n${PART}\r\n`],
] as const;

// Guards against a part of an answer that is taken for the whole, since its connection is reset only after its end.
test.each(FRAMINGS)("an answer %s that is reset after its end is not whole", async (_name, field, bytes) => {
    for (const pause of PAUSES) {
        const address = await listen(`HTTP/1.1 200 OK\r\n${field}\r\n${bytes}`, pause);
        for (const upload of UPLOADS) {
            const body = Buffer.alloc(upload, "a");
            expect(await readByPool(address, body)).toBeUndefined();
            expect(await readByService(address, body)).toBeUndefined();
        }
        server?.close();
    }
});

// Guards against a part of an answer that is taken for the whole, since its service was killed in the middle of it.
test("a part of an answer without a length is not whole if its service has ended", async () => {
    const address = await listen(`HTTP/1.1 200 OK\r\n\r\n${PART}`, undefined);
    server?.once("connection", () => server?.close());
    expect(await readByService(address, Buffer.alloc(0))).toBeUndefined();
});

// Guards against whole answers that are lost to the wait for a reset.
test("an answer without a length is whole where no reset follows its end", async () => {
    const address = await listen(`HTTP/1.1 200 OK\r\n\r\n${PART}`, undefined);
    for (const upload of UPLOADS) {
        const body = Buffer.alloc(upload, "a");
        expect(await readByPool(address, body)).toBe(PART);
        expect(await readByService(address, body)).toBe(PART);
    }
});
