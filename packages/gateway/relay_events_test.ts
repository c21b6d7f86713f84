import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { BackendResponse } from "../backends/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";
import { relayEvents } from "./relay_events.ts";

const MINUTE_MILLISECONDS = 60_000;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** Relays a stream of a resumable route on which pauses of the given length are on time. */
function relay(targetGapMilliseconds: number) {
    const body = new PassThrough();
    const written: string[] = [];
    const response = {
        headersSent: false,
        writeHead: () => {
            response.headersSent = true;
        },
        write: (bytes: Buffer) => written.push(bytes.toString()),
        end: () => {},
    };
    const backendResponse = {
        body: Object.assign(body, { complete: false }),
        rawHeaders: [],
        wasReset: () => false,
        close: () => body.destroy(),
    } as unknown as BackendResponse;
    const request = {
        response,
        receivedAt: 0,
        exchange: { events: 0 },
        signal: new AbortController().signal,
        route: { resumable: true, maximumServers: 3, targetGapMilliseconds },
    } as unknown as GatewayRequest;
    const context = {
        metrics: new Metrics(),
        serverLoads: { get: () => ({ recordSuccess: () => {} }) },
    } as unknown as GatewayContext;
    const progress = { lastEventId: undefined, runs: 0 } as PassProgress;
    const reservation = { server: { id: "engine-1" } } as never;
    const outcome = relayEvents({ request, reservation, progress, onEvent: () => {} }, backendResponse, context);
    return { body, written, outcome };
}

test("a stream whose events come just within the permitted pause is not cut, for minutes", async () => {
    const gap = 1_500;
    const { body, written } = relay(gap);
    const events = 5 * MINUTE_MILLISECONDS / gap;
    for (let event = 1; event <= events; event++) {
        body.write(`id: ${event}\ndata: x\n\n`);
        await vi.advanceTimersByTimeAsync(gap - 10);
    }
    expect(written).toHaveLength(events);
    expect(body.destroyed).toBe(false);
});

test("a stream that sends a byte now and then, but never an event, ends", async () => {
    const { body, outcome } = relay(300);
    body.write("id: 1\ndata: x\n\n");
    for (let byte = 0; byte < 20 && !body.destroyed; byte++) {
        await vi.advanceTimersByTimeAsync(200);
        body.write("d");
    }
    expect(await outcome).toEqual({ kind: "broken", message: "The stream fell silent" });
});

test("an event without an end is not collected without a limit", async () => {
    const { body, outcome } = relay(300);
    body.write("id: 1\ndata: x\n\nid: 2\ndata: ");
    const chunk = Buffer.alloc(65_536, "a");
    let bytes = 0;
    while (!body.destroyed && bytes < 64 * 1_024 * 1_024) {
        body.write(chunk);
        bytes += chunk.length;
        await vi.advanceTimersByTimeAsync(1);
    }
    expect(bytes).toBeLessThan(2 * 1_024 * 1_024);
    expect(await outcome).toEqual({ kind: "broken", message: "An event has no end" });
});
