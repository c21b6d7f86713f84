import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { BackendConnectionPool } from "../backends/mod.ts";
import type { RegisteredServer, ServiceProfile } from "../directory/mod.ts";
import { probeServer } from "./_probe_server.ts";
import { ServerClient } from "./server_client.ts";

const NONE = { leavingServers: {}, pausedServers: {}, serverLimits: { record: () => {} } };
const headers = { expectedServer: "x-expected", requestId: "x-id", leaving: "x-leaving", limit: "x-limit" } as never;
const engineProtocol = { report: () => ({ method: "GET", path: "/report" }) } as never;

const listeners: Server[] = [];
const addresses: Record<string, string> = {};
const pool = new BackendConnectionPool();

beforeAll(async () => {
    const http = createServer(({ url }, response) => void response.writeHead(url === "/health" ? 200 : 503).end());
    const closed = createTcpServer();
    const servers: Record<string, Server> = {
        http,
        closed,
        silent: createTcpServer(socket => void socket.on("error", () => {})),
        resetting: createTcpServer(socket => void socket.once("data", () => socket.resetAndDestroy())),
        garbage: createTcpServer(socket => void socket.end("HTTP/1.1 999 no\r\n\r\n")),
    };
    for (const [name, listener] of Object.entries(servers)) {
        await once(listener.listen(0, "127.0.0.1"), "listening");
        addresses[name] = `127.0.0.1:${(listener.address() as AddressInfo).port}`;
        listeners.push(listener);
    }
    closed.close();
});

afterAll(() => {
    pool.close();
    listeners.forEach(listener => listener.close());
});

// Guards against a link that counts as lost since its server refuses, and against one that counts as sound without a response.
test.each([
    ["http", "/health", "answered", ["answer http"]],
    ["http", "/broken", "answered", ["answer http"]],
    ["garbage", "/health", "answered", ["answer garbage"]],
    ["closed", "/health", "failed", ["unreachable closed"]],
    ["resetting", "/health", "failed", ["reset resetting"]],
    ["silent", "/health", "silent", ["timeout silent"]],
])("a probe of a server that is %s at %s is %s", async (id, healthPath, expected, told) => {
    const calls: string[] = [];
    const reachability = {
        beginCall: () => calls.push("begin"),
        endCall: () => calls.push("end"),
        recordAnswer: (server: string) => calls.push(`answer ${server}`),
        recordFault: (server: string, kind: string) => calls.push(`${kind} ${server}`),
    };
    const serverClient = new ServerClient(pool, headers, { ...NONE, reachability } as never);
    const server = { id, address: addresses[id] } as RegisteredServer;
    const service = { healthPath, engine: undefined } as ServiceProfile;
    expect(await probeServer(server, service, { serverClient, headers, engineProtocol })).toBe(expected);
    expect(calls).toEqual(["begin", "end", ...told]);
});
