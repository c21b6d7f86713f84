import { once } from "node:events";
import {
    createServer,
    type IncomingMessage,
    request as startRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { KnownPeer } from "../peers/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { PeerRelay } from "./peer_relay.ts";

const LONG_BODY = "x".repeat(300_000);
/** What peers do with a request that they have read. */
const BEHAVIOURS: Record<string, (response: ServerResponse) => void> = {
    answers: response => response.writeHead(200, { stamp: "s", "content-length": 4 }).end("text"),
    streams: response => response.writeHead(200, { stamp: "s" }).end(LONG_BODY),
    isolated: response => refuse(response, 503, "no-backend-server"),
    leaving: response => refuse(response, 503, "leaving"),
    full: response => refuse(response.setHeader("retry-after", "0.2"), 503, "no-capacity"),
    limits: response => refuse(response, 429, "over-limit"),
    fails: response => refuse(response.setHeader("stamp", "s"), 503, "no-backend-server"),
    unsigned: response => response.writeHead(200, { "content-length": 4 }).end("text"),
    resets: response => void response.socket?.resetAndDestroy(),
    breaks: response => {
        response.writeHead(200, { stamp: "s" }).write("te");
        setTimeout(() => response.socket?.destroy(), 50);
    },
    shortens: response => {
        response.writeHead(200, { "stamp": "s", "content-length": 4 }).write("te");
        setTimeout(() => response.socket?.destroy(), 50);
    },
};

function refuse(response: ServerResponse, status: number, type: string): void {
    const body = JSON.stringify({ error: { type } });
    response.writeHead(status, { "content-length": body.length }).end(body);
}

const servers: Server[] = [];
let relay: PeerRelay | undefined;

afterEach(() => {
    relay?.close();
    servers.splice(0).forEach(server => server.close().closeAllConnections());
});

async function listen(handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<string> {
    const server = createServer(handle);
    servers.push(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts peers, which are tried in this order: each is less likely than the one before it to reach servers soon. */
async function startPeers(behaviours: string[], received: IncomingMessage[]): Promise<KnownPeer[]> {
    const likelihoods = [
        { failureDomain: "north", serversReachable: true },
        { failureDomain: "south", serversReachable: true },
        { failureDomain: "north", serversReachable: undefined },
        { failureDomain: "south", serversReachable: undefined },
    ];
    return await Promise.all(behaviours.map(async (behaviour, index) => {
        const { failureDomain = "", serversReachable } = likelihoods[index] ?? {};
        const callersAddress = behaviour === "ended" ? "127.0.0.1:1" : await listen((incoming, response) => {
            received.push(incoming);
            response.setHeader("request-id", String(incoming.headers["request-id"]));
            incoming.resume().on("end", () => BEHAVIOURS[behaviour]?.(response));
        });
        const peer = { name: `peer-${index}`, incarnation: "1", address: "", failureDomain, callersAddress };
        return { peer, serversReachable, lastReportAt: monotonicMilliseconds(), readsStore: true };
    }));
}

/** Passes a request on and returns what its caller gets, and what the peers have got. */
async function pass(behaviours: string[], kind: string, runs: number) {
    const received: IncomingMessage[] = [];
    const peers = await startPeers(behaviours, received);
    const context = {
        settings: () => ({ failureDomain: "north" }),
        peers: () => peers,
        reachability: { isIsolated: true },
        headers: {
            requestId: "request-id",
            remainingMilliseconds: "remaining",
            key: "key",
            signature: "stamp",
            relayed: "relayed",
        },
        directoryUpdater: { logFields: () => ({}) },
        metrics: new Metrics(),
        logger: { info: () => {} },
    } as unknown as GatewayContext;
    relay = new PeerRelay(context);
    const abort = new AbortController();
    let isAnswered: boolean | undefined;
    const address = await listen(async (incoming, response) => {
        response.on("close", () => abort.abort("caller-gone"));
        const request = {
            id: "one",
            method: "POST",
            path: "/a?b",
            headers: ["Host", "h", "Request-Id", "one"],
            body: Buffer.from("body"),
            key: "secret",
            service: { name: "orders", engine: undefined },
            route: { name: "r", kind, resumable: false, maximumServers: 3 },
            receivedAt: monotonicMilliseconds(),
            callerDeadline: monotonicMilliseconds() + 5_000,
            deadline: monotonicMilliseconds() + 5_000,
            signal: abort.signal,
            isRelayed: false,
            triedPeers: new Set(),
            memory: { tryHold: () => true, hold: () => Promise.resolve(true) },
            exchange: { events: 0, runs },
            response,
        } as unknown as GatewayRequest;
        incoming.resume();
        isAnswered = await relay?.pass(request, "isolated");
        if (!isAnswered) {
            response.writeHead(599).end();
        }
    });
    const outgoing = startRequest(`http://${address}`, { agent: false }).on("error", () => {}).end();
    const [response] = await once(outgoing, "response") as [IncomingMessage];
    let body = "";
    response.on("error", () => {}).on("data", chunk => body += String(chunk));
    await new Promise(resolve => response.on("close", resolve));
    return { status: response.statusCode, headers: response.headers, body, complete: response.complete, received };
}

// Guards against requests that run twice or are called not run falsely, and against parts of answers that look complete.
test.each([
    {
        peers: ["answers"],
        kind: "non_idempotent",
        status: 200,
        body: "text",
        head: { "content-length": "4" },
        tries: 1,
    },
    { peers: ["streams"], kind: "non_idempotent", status: 200, body: LONG_BODY, tries: 1 },
    { peers: ["isolated", "leaving", "answers"], kind: "non_idempotent", status: 200, body: "text", tries: 3 },
    { peers: ["ended", "answers"], kind: "non_idempotent", status: 200, body: "text", tries: 1 },
    { peers: ["isolated", "isolated", "leaving", "answers"], kind: "idempotent", status: 599, body: "", tries: 3 },
    { peers: ["ended"], kind: "idempotent", status: 599, body: "", tries: 0 },
    { peers: [], kind: "idempotent", status: 599, body: "", tries: 0 },
    { peers: ["limits", "answers"], kind: "idempotent", status: 429, tries: 1 },
    { peers: ["full", "answers"], kind: "idempotent", status: 503, head: { "retry-after": "0.2" }, tries: 1 },
    { peers: ["fails", "answers"], kind: "idempotent", status: 503, tries: 1 },
    { peers: ["limits", "full", "answers"], kind: "idempotent", runs: 1, status: 200, body: "text", tries: 3 },
    { peers: ["limits", "full"], kind: "idempotent", runs: 1, status: 599, tries: 2 },
    { peers: ["fails", "answers"], kind: "idempotent", runs: 1, status: 503, tries: 1 },
    { peers: ["resets", "answers"], kind: "non_idempotent", status: 502, tries: 1 },
    { peers: ["resets", "answers"], kind: "idempotent", status: 502, tries: 1 },
    { peers: ["isolated", "resets", "answers"], kind: "idempotent", status: 502, tries: 2 },
    { peers: ["unsigned"], kind: "idempotent", status: 502, tries: 1 },
    { peers: ["breaks", "answers"], kind: "idempotent", status: 200, body: "te", complete: false, tries: 1 },
    { peers: ["shortens", "answers"], kind: "idempotent", status: 200, body: "te", complete: false, tries: 1 },
])("$kind request to peers $peers ends with $status", async testCase => {
    const { peers, kind, runs = 0, status, body, head = {}, complete = true, tries } = testCase;
    const result = await pass(peers, kind, runs);
    expect(result).toMatchObject({ status, complete, headers: head });
    expect(result.received).toHaveLength(tries);
    if (body !== undefined) {
        expect(result.body).toBe(body);
    }
    for (const { method, url, headers } of result.received) {
        expect({ method, url }).toEqual({ method: "POST", url: "/a?b" });
        expect(headers).toMatchObject({ "host": "h", "key": "secret", "content-length": "4" });
        expect(headers["relayed"]).toBe(String(3 - runs));
        expect(Number(headers["remaining"])).toBeLessThanOrEqual(5_000);
    }
});
