import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { PromptPartRegistry } from "../prompt_parts/mod.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import { CrashRegistry } from "./crash_registry.ts";
import type { DecodeReservation } from "./decode_reservation.ts";

beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(1_000_000);
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against the conviction of parts whose callers had left before an engine ended.
test("runs that their callers gave up are no evidence when their engines end", () => {
    const directory = new Directory();
    const logger = createLogger("test", new PassThrough().resume());
    const promptParts = new PromptPartRegistry(logger, () => true);
    const crashRegistry = new CrashRegistry(directory, logger, run => promptParts.recordCrash(run));
    const leavingServers = { isLeaving: () => false };
    const context = { directory, promptParts, crashRegistry, leavingServers } as never;
    for (const id of ["a", "b"]) {
        const server = { id, service: "models", startedAt: 1 } as RegisteredServer;
        directory.apply({ kind: "server", server });
        const signal = AbortSignal.abort("caller-gone");
        const request = { path: "/draft/1", body: Buffer.from(id), promptParts: ["models/rare"], signal } as never;
        const reservation = { server, requestedAt: performance.now() } as DecodeReservation;
        const evidence = new CrashEvidence(context, request, reservation);
        vi.advanceTimersByTime(300);
        evidence.recordOutcome({ kind: "broken", message: "The request was given up" });
        vi.advanceTimersByTime(2_000);
        crashRegistry.recordServerEnd(id);
        vi.advanceTimersByTime(1_000);
    }
    expect(promptParts.admit(["models/rare"])).toBe("admitted");
});
