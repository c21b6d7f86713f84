import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { ServerLoad } from "./server_load.ts";
import { SlowServerWatch } from "./slow_server_watch.ts";

const REMAINING_MILLISECONDS = 1_000;

let load: ServerLoad;
let request: AbortController;

beforeEach(() => {
    vi.useFakeTimers();
    load = new ServerLoad();
    request = new AbortController();
});

afterEach(() => {
    vi.useRealTimers();
});

function watchSend(successor?: RegisteredServer): SlowServerWatch {
    const { signal } = request;
    return new SlowServerWatch(
        { signal } as GatewayRequest,
        REMAINING_MILLISECONDS,
        load,
        () => Promise.resolve(successor),
    );
}

// Guards against slow servers that count as sound, or more than once, where the send goes on.
test("a slow server without a successor counts one failure, and the send goes on", async () => {
    const watch = watchSend();
    await vi.advanceTimersByTimeAsync(REMAINING_MILLISECONDS);
    expect(watch).toMatchObject({ isSlow: true, successor: undefined });
    expect(watch.signal.aborted).toBe(false);
    expect(load.outcomes.failures).toBeGreaterThan(0);
    expect(load.outcomes.failures).toBeLessThanOrEqual(1);
    watch.close();
});

test("a send to a slow server is given up for a successor", async () => {
    const successor = { id: "b" } as RegisteredServer;
    const watch = watchSend(successor);
    await vi.advanceTimersByTimeAsync(REMAINING_MILLISECONDS / 2);
    expect(watch.signal.aborted).toBe(true);
    expect(watch.successor).toBe(successor);
    watch.close();
});

// Guards against servers that work on for a caller who has left while the body arrives.
test("a send whose answer has begun ends only with its request", async () => {
    const watch = watchSend({ id: "b" } as RegisteredServer);
    watch.recordAnswer();
    await vi.advanceTimersByTimeAsync(REMAINING_MILLISECONDS / 2);
    expect(watch.isSlow).toBe(false);
    expect(watch.signal.aborted).toBe(false);
    request.abort();
    expect(watch.signal.aborted).toBe(true);
    watch.close();
});
