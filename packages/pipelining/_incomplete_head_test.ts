import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { estimateHeadMemory, MemoryBudget } from "../memory/mod.ts";
import { IncompleteHead } from "./_incomplete_head.ts";
import { PipeliningLimit } from "./pipelining_limit.ts";

const MAXIMUM_UNANSWERED_REQUESTS = 4;
const BUDGET_BYTES = 100_000;
const FIRST_LINE = "GET / HTTP/1.1\r\n";

let server: Server;
let limit: PipeliningLimit;
let budget: MemoryBudget;
const sockets: Socket[] = [];

afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    server.close();
    server.closeAllConnections();
});

async function serve(listener: RequestListener): Promise<void> {
    server = createServer({ maxHeaderSize: 65_536, requireHostHeader: false });
    budget = new MemoryBudget(BUDGET_BYTES);
    limit = new PipeliningLimit(server, { maximumUnansweredRequests: MAXIMUM_UNANSWERED_REQUESTS, memory: budget });
    server.on("request", listener);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
}

async function open(): Promise<Socket> {
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").setNoDelay();
    sockets.push(socket);
    await once(socket, "connect");
    return socket;
}

/** Reads until the server closes the connection; a reset is an error. */
async function readToEnd(socket: Socket): Promise<string> {
    let text = "";
    for await (const chunk of socket) {
        text += String(chunk);
    }
    return text;
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

// Guards against processes that exceed their memory since the parser keeps heads that do not end.
test("heads that do not end take memory, and are refused at once where there is none", async () => {
    await serve((_, response) => response.end("<answer>"));
    const held = await open();
    held.write(`${FIRST_LINE}X-Long: ${"a".repeat(10_000)}\r\n`);
    await waitUntil(() => budget.usedBytes >= estimateHeadMemory(10_000, 1));
    const refused = await open();
    const answer = readToEnd(refused);
    refused.write(`${FIRST_LINE}X-Long: ${"a".repeat(30_000)}`);
    refused.write("a".repeat(30_000));
    const text = await answer;
    expect(text).toMatch(/^HTTP\/1\.1 503 /);
    expect(text).toMatch(/^Retry-After: \d/m);
    expect(text).toMatch(/^Connection: close\r$/m);
    held.write("Connection: close\r\nHost: a\r\n\r\n");
    expect(await readToEnd(held)).toContain("<answer>");
    refused.destroy();
    await waitUntil(() => budget.usedBytes === 0);
});

// Guards against heaps that are full of short fields, of which only the bytes are counted.
test("each field of a head that does not end takes memory", async () => {
    await serve((_, response) => response.end("<answer>"));
    const socket = await open();
    socket.write(FIRST_LINE + "a:b\r\n".repeat(150));
    await waitUntil(() => budget.usedBytes >= estimateHeadMemory(150 * 5, 150));
    socket.destroy();
    await waitUntil(() => budget.usedBytes === 0);
});

// Guards against memory that is counted twice, or that others take, when the head has become a request.
test("a request takes over the memory of its head", async () => {
    const used: number[] = [];
    let taken = 0;
    await serve((request, response) => {
        const memory = limit.takeHeadMemory(request.socket);
        taken = memory?.bytes ?? 0;
        used.push(budget.usedBytes);
        memory?.close();
        response.end("<answer>");
    });
    const socket = await open();
    let text = "";
    socket.on("data", chunk => text += String(chunk));
    socket.write(`${FIRST_LINE}Host: a\r\nX-Long: ${"a".repeat(5_000)}`);
    await waitUntil(() => budget.usedBytes > 5_000);
    const before = budget.usedBytes;
    socket.write("\r\n\r\n");
    await waitUntil(() => text.includes("<answer>"));
    expect(taken).toBe(before);
    expect(used).toEqual([before]);
    expect(budget.usedBytes).toBe(0);
});

// Guards against heads far beyond the configured limit that are kept up to that of the parser.
test("a head is refused as soon as it is longer than the limit, after the answers before it", async () => {
    await serve((_, response) => setTimeout(() => response.end("<answer>"), 20));
    limit.maximumHeadBytes = 2_000;
    const socket = await open();
    const answers = readToEnd(socket);
    socket.write(`${FIRST_LINE}Host: a\r\n\r\n${FIRST_LINE}X-Long: ${"a".repeat(1_000)}`);
    await new Promise(resolve => setTimeout(resolve, 10));
    socket.write("a".repeat(2_000));
    expect(await answers).toMatch(/<answer>HTTP\/1\.1 431 /);
    const long = await open();
    const request = readToEnd(long);
    long.write(`GET /${"a".repeat(5_000)} HTTP/1.1\r\nConnection: close\r\nHost: a\r\nX-Long: ${"a".repeat(1_800)}`);
    await new Promise(resolve => setTimeout(resolve, 10));
    long.write("\r\n\r\n");
    expect(await request).toContain("<answer>");
});

// Guards against a limit that is passed by, since the parser takes other ends of a head than the usual one, or refuses them.
test.each(["\n\n", "\r\n\n", "\n\r\n"])("requests whose heads end with %j are limited too, or refused", async end => {
    let begun = 0;
    await serve(() => begun++);
    const socket = await open();
    let answers = "";
    socket.on("data", chunk => answers += String(chunk));
    socket.write(`GET / HTTP/1.1${end}`.repeat(1_000));
    await waitUntil(() => begun > 0 || socket.destroyed);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(begun).toBeLessThanOrEqual(MAXIMUM_UNANSWERED_REQUESTS);
    // From 20.19.5 on, the parser of Node.js refuses these ends.
    expect(answers).toMatch(begun > 0 ? /^$/ : /^HTTP\/1\.1 400 [^<]*$/);
    expect(budget.usedBytes === 0 || begun > 0).toBe(true);
});

// Guards against processes that stand still since the parser is called for each empty line before a request.
test.each([
    { piece: "\n".repeat(50_000), isBody: false, end: 50_000 },
    { piece: "\r\n".repeat(3), isBody: false, end: 6 },
    { piece: "\r\n\r\n\nGET / HTTP/1.1\r\n\r\nGET /", isBody: false, end: 23 },
    { piece: "\r\n\r\nGET / HTTP/1.1\r\n", isBody: false, end: undefined },
    { piece: "GET / HTTP/1.1\nHost: a\n\nGET /", isBody: false, end: 24 },
    { piece: "a\r\n\n\r\n", isBody: false, end: 4 },
    { piece: "\n\n\n\n", isBody: true, end: 2 },
    { piece: "0\r\n\r\n\r\n", isBody: true, end: 5 },
    { piece: "a\r\r\n\r", isBody: true, end: undefined },
])("empty lines before a head are part of it: $end of $piece.length bytes", ({ piece, isBody, end }) => {
    expect(new IncompleteHead(new MemoryBudget(BUDGET_BYTES)).findEnd(Buffer.from(piece), isBody)).toBe(end);
});
