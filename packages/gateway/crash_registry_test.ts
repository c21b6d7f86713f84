import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Directory } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { CrashRegistry } from "./crash_registry.ts";

const request = { path: "/draft/1", body: Buffer.from("prompt"), organisation: undefined };

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function createRegistry(): CrashRegistry {
    return new CrashRegistry(new Directory(), createLogger("test", new PassThrough().resume()));
}

function crash(registry: CrashRegistry, server: string): void {
    registry.recordBrokenConnection(request, server);
    registry.recordServerEnd(server);
}

test("a request that crashed three servers is blocked for a time", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server));
    expect(registry.isBlocked(request)).toBe(false);
    crash(registry, "c");
    expect(registry.isBlocked(request)).toBe(true);
    vi.advanceTimersByTime(31_000);
    expect(registry.isBlocked(request)).toBe(false);
});

test("a server counts again if it crashes once more after its first crash has ceased to count", () => {
    const registry = createRegistry();
    crash(registry, "a");
    vi.advanceTimersByTime(31_000);
    ["a", "b", "c"].forEach(server => crash(registry, server));
    expect(registry.isBlocked(request)).toBe(true);
});

test("several crashes of one server count once", () => {
    const registry = createRegistry();
    ["a", "a", "a"].forEach(server => crash(registry, server));
    expect(registry.isBlocked(request)).toBe(false);
});
