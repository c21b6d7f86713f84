import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { createPassProgress } from "./_create_pass_progress.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { VersionGuard } from "./version_guard.ts";

const STEP_MILLISECONDS = 10;
/** Time in which the guard may notice what it waits for. */
const NOTICED_MILLISECONDS = 120;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against a stream that is placed by the engines of a directory which lacks the one that keeps its prompt.
test.each([
    { returnedAfter: 0, deadline: 10_000, asked: 0, ended: 0 },
    { returnedAfter: 700, deadline: 10_000, asked: 700, ended: 700 },
    { returnedAfter: 1_900, deadline: 10_000, asked: 1_900, ended: 1_900 },
    { returnedAfter: Infinity, deadline: 10_000, asked: undefined, ended: 2_000 },
    { returnedAfter: Infinity, deadline: 1_000, asked: undefined, ended: 500 },
])("engines are asked for the prompt of a stream once the servers have returned: %j", async row => {
    const startedAt = monotonicMilliseconds();
    const passed = () => monotonicMilliseconds() - startedAt;
    let asked: number | undefined;
    const directory = {
        get servers() {
            asked ??= passed();
            return new Map();
        },
    };
    const context = {
        streamVersions: {
            find: async () => ({ kind: "unknown", evidence: {} }),
            haveServersReturned: () => passed() >= row.returnedAfter,
        },
        directory,
        engineProcesses: { former: [] },
        directoryUpdater: { isCopyInDoubt: false, logFields: () => ({}) },
        metrics: { increment: () => {} },
        logger: { info: () => {} },
    } as unknown as GatewayContext;
    const request = {
        id: "attempt-2",
        service: { name: "models" },
        resumedStream: { firstAttempt: "attempt-1" },
        promptSections: [{ key: "models/last" }],
        deadline: startedAt + row.deadline,
        signal: new AbortController().signal,
    } as unknown as GatewayRequest;
    let ended: number | undefined;
    const admitted = new VersionGuard(context).admit(request, createPassProgress());
    const done = admitted.then(() => ended = passed());
    while (ended === undefined && passed() < row.deadline) {
        await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
    }
    await done;
    expect((await admitted)?.reason).toBe("stream-version-unknown");
    const times = [[asked, row.asked], [ended, row.ended]] as const;
    times.forEach(([time, expected]) => {
        expect(time === undefined).toBe(expected === undefined);
        expect(time ?? 0).toBeGreaterThanOrEqual(expected ?? 0);
        expect(time ?? 0).toBeLessThanOrEqual((expected ?? 0) + NOTICED_MILLISECONDS);
    });
});
