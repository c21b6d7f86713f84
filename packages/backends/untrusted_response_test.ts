import { createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";
import { hasStrayBytes } from "./has_stray_bytes.ts";
import { readResponseBody } from "./read_response_body.ts";

const MAXIMUM_BODY_BYTES = 65_536;
/** Bytes that may be held in memory while a response without an end arrives. */
const MAXIMUM_MEMORY_BYTES = 48 * 1_024 * 1_024;
const RESPONSE_TIMEOUT_MILLISECONDS = 1_500;

let server: Server | undefined;
const pool = new BackendConnectionPool();
const sockets = new Set<Socket>();

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    sockets.clear();
    await new Promise<void>(resolve => server?.close(() => resolve()) ?? resolve());
});

/** Starts a server that passes each request it receives, with its number, to a function. */
async function listen(respond: (socket: Socket, request: number) => void): Promise<string> {
    let requests = 0;
    const started = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", () => respond(socket, ++requests));
    });
    server = started;
    await new Promise<void>(resolve => started.listen(0, "127.0.0.1", resolve));
    const address = started.address();
    return `127.0.0.1:${typeof address === "object" ? address?.port : 0}`;
}

function send(address: string, id: string): ReturnType<BackendConnectionPool["send"]> {
    return pool.send({
        address,
        method: "GET",
        path: "/",
        headers: ["Host", address],
        timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
        correlation: { header: "x-id", value: id },
    });
}

async function call(
    address: string,
    id: string,
): Promise<{ status: number; body: string | undefined; fault?: string; }> {
    const response = await send(address, id);
    if (response.isErr()) {
        return { status: 0, body: undefined, fault: response.error.kind };
    }
    const body = await readResponseBody(response.value, RESPONSE_TIMEOUT_MILLISECONDS, MAXIMUM_BODY_BYTES);
    return { status: response.value.status, body: body?.toString("utf8") };
}

function answer(id: string): string {
    return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`;
}

test("a second copy of a response that arrives on an idle connection is not the next response", async () => {
    const address = await listen((socket, request) => {
        socket.write(answer(String(request)));
        setTimeout(() => request === 1 && socket.write(answer("1")), 50);
    });
    expect(await call(address, "1")).toMatchObject({ status: 200, body: "1" });
    await sleep(150);
    // The connection is in an unknown state and must not be used again.
    expect(await call(address, "2")).toMatchObject({ status: 200, body: "2" });
});

test("a second copy that arrives in place of the next response is not delivered", async () => {
    const address = await listen(socket => socket.write(answer("1")));
    expect(await call(address, "1")).toMatchObject({ status: 200, body: "1" });
    expect(await call(address, "2")).toMatchObject({ status: 0, fault: "crossed" });
    await expect.poll(() => sockets.size, { timeout: 2_000 }).toBe(0);
});

/** Writes a fragment again and again until the connection is closed. */
function writeForever(socket: Socket, fragment: string): void {
    const chunk = fragment.repeat(Math.max(1, Math.floor(16_384 / fragment.length)));
    const write = () => {
        while (!socket.destroyed && socket.write(chunk)) {
            // Writes until the socket's buffer is full.
        }
    };
    socket.on("drain", () => setImmediate(write));
    write();
}

test.each([
    ["a status line", "HTTP/1.1 200 ", "O"],
    ["headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"],
    ["one header", "HTTP/1.1 200 OK\r\nX-A: ", "b"],
    ["a chunk extension", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a"],
    ["trailers", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"],
    ["chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"],
    ["a body without a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "a"],
    ["interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"],
])(
    "%s without an end fails in time, takes little memory, and closes the connection",
    async (_name, start, fragment) => {
        const address = await listen(socket => {
            socket.write(start);
            writeForever(socket, fragment);
        });
        const before = process.memoryUsage().rss;
        const response = await call(address, "1");
        expect(response.body).toBeUndefined();
        expect(process.memoryUsage().rss - before).toBeLessThan(MAXIMUM_MEMORY_BYTES);
        await expect.poll(() => sockets.size, { timeout: 2_000 }).toBe(0);
    },
);

test("bytes beyond the length of a body close the connection", async () => {
    const address = await listen((socket, request) => socket.write(`${answer(String(request))}excess`));
    expect(await call(address, "1")).toMatchObject({ status: 200, body: "1" });
    await expect.poll(() => sockets.size, { timeout: 2_000 }).toBe(0);
    expect(await call(address, "2")).toMatchObject({ status: 200, body: "2" });
});

const BODY = `<${"b".repeat(600)}>`;
const ID = "id-1";
const WHOLE = `HTTP/1.1 200 OK\r\nX-Id: ${ID}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;

// Guards against answers whose end is the beginning of the server's second answer to the same request.
test.each([1, 3, 7, 8, 9, 40, 300, 601])(
    "an answer that breaks off %i bytes before its end is not completed by the answer that follows",
    async missing => {
        const address = await listen(socket => {
            socket.write(WHOLE.slice(0, -missing));
            setTimeout(() => socket.write(WHOLE), 20);
        });
        expect(await call(address, ID)).toEqual({ status: 200, body: undefined });
        await expect.poll(() => sockets.size, { timeout: 2_000 }).toBe(0);
    },
);

// Guards against the same where the answers end with their connection.
test("a second answer is no part of a body without a length", async () => {
    const answerUntilClose = `HTTP/1.1 200 OK\r\nX-Id: ${ID}\r\n\r\n${BODY}`;
    const address = await listen(socket => socket.end(answerUntilClose + answerUntilClose));
    expect(await call(address, ID)).toEqual({ status: 200, body: undefined });
});

// Guards against sound answers that are given up for what follows them, or for a text about the protocol in them.
test.each([
    ["followed by bytes that are no answer", BODY, "\u0000rubbish", true],
    ["followed by its second copy", BODY, WHOLE, false],
    ["followed by the beginning of its second copy", BODY, "HTT", false],
    ["that quotes an answer", `a${WHOLE}z`, "", false],
])("a whole answer %s is sound", async (_name, body, trailing, isStray) => {
    const head = `HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n`;
    const address = await listen(socket => socket.write(`HTTP/1.1 102 Processing\r\n\r\n${head}${body}${trailing}`));
    const correlation = { header: "x-id", value: "other" };
    const request = { address, method: "GET", path: "/", headers: [], timeoutMilliseconds: 1_000, correlation };
    const response = (await pool.send(request))._unsafeUnwrap();
    expect((await readResponseBody(response, 1_000, MAXIMUM_BODY_BYTES))?.toString("utf8")).toBe(body);
    expect(hasStrayBytes(response)).toBe(isStray);
});

// Guards against truncated answers that count as whole since their transfer coding does not tell their end.
test("an answer with a transfer coding other than chunked that is reset is not whole", async () => {
    const address = await listen(socket => {
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${ID}\r\nTransfer-Encoding: identity\r\n\r\nhalf`);
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    expect(await call(address, ID)).toEqual({ status: 200, body: undefined });
});

// Guards against a late second answer to an earlier try that is taken for the answer to a later one.
test("a second try of a request does not get the late second answer to the first", async () => {
    let connections = 0;
    const address = await listen((socket, request) => {
        connections = Math.max(connections, sockets.size);
        const body = `try ${request}`;
        const reply = `HTTP/1.1 200 OK\r\nX-Id: ${ID}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
        if (request === 1) {
            socket.write(reply);
            setTimeout(() => socket.write(reply), 60);
            return;
        }
        setTimeout(() => socket.write(reply), 100);
    });
    expect(await call(address, ID)).toEqual({ status: 200, body: "try 1" });
    expect(await call(address, ID)).toEqual({ status: 200, body: "try 2" });
    expect(connections).toBe(2);
});

// Guards against a late second answer to a request that is taken for the answer to a call without an id.
test("an answer that names an earlier request does not belong to a call without an id", async () => {
    const address = await listen(socket => socket.write(WHOLE));
    const correlation = { header: "x-id", value: undefined };
    const request = { address, method: "GET", path: "/", headers: [], timeoutMilliseconds: 1_000, correlation };
    const before = (await pool.send(request))._unsafeUnwrap();
    await readResponseBody(before, 1_000, MAXIMUM_BODY_BYTES);
    expect(await call(address, ID)).toEqual({ status: 200, body: BODY });
    expect((await pool.send(request))._unsafeUnwrapErr()).toMatchObject({ kind: "crossed" });
});

// Guards against exceptions while a connection is kept, raised by the idle time that its server names.
test("a server's idle time without bounds does not fail its connection", async () => {
    const address = await listen(socket =>
        socket.write(
            `HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=${"9".repeat(400)}\r\nContent-Length: 1\r\n\r\na`,
        )
    );
    expect(await call(address, "1")).toEqual({ status: 200, body: "a" });
    await sleep(50);
    expect(sockets.size).toBe(1);
});

const MANY_HEADERS = Array.from({ length: 1_500 }, (_, index) => `h${index}: a\r\n`).join("");

// Guards against the end of a kept connection that ends the process, since its response seemed to end with the connection.
test.each([
    ["length", "Content-Length: 4\r\n", "body"],
    ["length, on a connection that is closed", "Connection: close\r\nContent-Length: 4\r\n", "body"],
    ["chunked", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"],
])("what ends the body is read behind any number of headers: %s", async (name, field, bytes) => {
    const address = await listen((socket, request) => {
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${request}\r\n${MANY_HEADERS}${field}\r\n${bytes}`);
    });
    for (const id of ["1", "2"]) {
        const response = (await send(address, id))._unsafeUnwrap();
        expect(response.framing).toBe(name.split(",")[0]);
        expect((await readResponseBody(response, RESPONSE_TIMEOUT_MILLISECONDS, MAXIMUM_BODY_BYTES))?.toString()).toBe(
            "body",
        );
        sockets.forEach(socket => socket.end());
        await expect.poll(() => sockets.size, { timeout: 2_000 }).toBe(0);
    }
});
