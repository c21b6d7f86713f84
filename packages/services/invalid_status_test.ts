import { createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { BackendConnectionPool } from "../backends/mod.ts";
import { callService } from "./mod.ts";

const TIMEOUT_MILLISECONDS = 5_000;
const INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";

let server: Server | undefined;
const sockets = new Set<Socket>();
const pool = new BackendConnectionPool();

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await new Promise<void>(resolve => server?.close(() => resolve()) ?? resolve());
    pool.close();
});

/** Starts a server that writes the same bytes after each read. */
async function listen(bytes: string): Promise<string> {
    const started = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", () => socket.write(bytes));
    });
    server = started;
    await new Promise<void>(resolve => started.listen(0, "127.0.0.1", resolve));
    const address = started.address();
    return `127.0.0.1:${typeof address === "object" ? address?.port : 0}`;
}

const answer = (status: string) => `HTTP/1.1 ${status} X\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok`;
const ANSWERS: [string, string][] = [
    ...["000", "001", "099", "600", "999"].map((status): [string, string] => [`status ${status}`, answer(status)]),
    ["interim responses without end", INTERIM.repeat(1_000)],
];

// Guards against callers that get what is no answer of the server as one.
test.each(ANSWERS)("%s is no answer; the request may have run and the connection is closed", async (_name, bytes) => {
    const address = await listen(bytes);
    const response = await pool.send({
        address,
        method: "POST",
        path: "/",
        headers: ["Host", address],
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        correlation: { header: "x-id", value: "1" },
    });
    expect(response._unsafeUnwrapErr()).toMatchObject({ kind: "malformed", verdict: "may-have-run" });
    await expect.poll(() => sockets.size).toBe(0);
});

test.each(ANSWERS)("%s is no answer of a service", async (_name, bytes) => {
    const address = await listen(bytes);
    const request = { method: "POST", path: "/", headers: {}, body: Buffer.from("a") };
    const response = await callService(address, request, TIMEOUT_MILLISECONDS);
    expect(response._unsafeUnwrapErr()).toMatchObject({ verdict: "may-have-run" });
    expect(response._unsafeUnwrapErr().message).toMatch(/status|interim/);
});

test.each(["200", "299", "404", "599"])("status %s is an answer, also after interim responses", async status => {
    const address = await listen(`${INTERIM.repeat(3)}${answer(status)}`);
    const response = await pool.send({
        address,
        method: "POST",
        path: "/",
        headers: ["Host", address],
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        correlation: { header: "x-id", value: "1" },
    });
    expect(response._unsafeUnwrap().status).toBe(Number(status));
});
