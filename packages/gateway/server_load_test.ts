import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { ServerLoad } from "./server_load.ts";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

test("all requests of the last second are counted, so that a large limit of a cold server holds", () => {
    const load = new ServerLoad();
    for (let request = 0; request < 300; request++) {
        load.recordSend();
        vi.advanceTimersByTime(2);
    }
    expect(load.countSendsSince(performance.now() - 1_000)).toBe(300);
    vi.advanceTimersByTime(1_001);
    expect(load.countSendsSince(performance.now() - 1_000)).toBe(0);
});
