import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createLogger } from "../logs/mod.ts";
import { PromptPartRegistry } from "./prompt_part_registry.ts";

const RUN_MILLISECONDS = 100;

beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(1_000_000);
});

afterEach(() => {
    vi.useRealTimers();
});

/** Creates the registry of the instance with this rank among those that probe a part. */
function createRegistry(rank = 0): PromptPartRegistry {
    return new PromptPartRegistry(createLogger("test", new PassThrough().resume()), (_part, count) => rank < count);
}

/** Lets a run with these parts crash a server, as the registry's instance sees it. */
function crash(registry: PromptPartRegistry, server: string, parts: string[]): void {
    const aliveAt = performance.now();
    vi.advanceTimersByTime(RUN_MILLISECONDS);
    registry.recordCrash({ server, startedAt: 1, aliveAt, endedAt: performance.now(), parts });
    vi.advanceTimersByTime(1);
}

/** Sends the reports of each registry to the others, twice so that answers to reports arrive. */
function exchange(...registries: PromptPartRegistry[]): void {
    for (let round = 0; round < 2; round++) {
        const reports = registries.map(registry => registry.createReport());
        vi.advanceTimersByTime(50);
        registries.forEach((registry, index) => {
            reports.filter((_report, other) => other !== index).forEach(report => registry.applyReport(report));
        });
    }
}

test("a part is blocked after two crashes, one after the other", () => {
    const registry = createRegistry();
    crash(registry, "a", ["deadly"]);
    expect(registry.admit(["deadly"])).toBe("admitted");
    crash(registry, "b", ["deadly"]);
    expect(registry.admit(["deadly"])).toBe("blocked");
    expect(registry.admit(["other"])).toBe("admitted");
});

// Guards against the conviction of parts that were in use when a failure domain lost power.
test("servers that crash together are one crash for a part that ran on all of them", () => {
    const registry = createRegistry();
    const aliveAt = performance.now();
    vi.advanceTimersByTime(RUN_MILLISECONDS);
    for (const server of ["a", "b", "c"]) {
        registry.recordCrash({ server, startedAt: 1, aliveAt, endedAt: performance.now(), parts: ["sound"] });
        vi.advanceTimersByTime(20);
    }
    expect(registry.admit(["sound"])).toBe("admitted");
});

// Guards against the refusal of all requests that share a preamble with those that crash servers.
test("a part that is served is not suspected, however often its requests crash servers", () => {
    const registry = createRegistry();
    registry.recordServed(["preamble"]);
    ["a", "b", "c"].forEach(server => crash(registry, server, ["preamble", "deadly"]));
    expect(registry.admit(["preamble"])).toBe("admitted");
    expect(registry.admit(["preamble", "deadly"])).toBe("blocked");
});

test("a part that is served later is no longer blocked", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server, ["preamble", "deadly"]));
    vi.advanceTimersByTime(1_000);
    expect(registry.isBlocked(["preamble"])).toBe(true);
    registry.recordServed(["preamble"]);
    expect(registry.admit(["preamble"])).toBe("admitted");
    expect(registry.admit(["deadly"])).toBe("blocked");
});

test("a part that was in fewer crashes than another one that was in all of them is not blocked", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server, ["subject", "deadly"]));
    vi.advanceTimersByTime(1_000);
    expect(registry.isBlocked(["subject"])).toBe(true);
    crash(registry, "c", ["deadly"]);
    expect(registry.admit(["subject"])).toBe("admitted");
    expect(registry.admit(["deadly"])).toBe("blocked");
});

test("instances learn blocked parts and count crashes of each other", () => {
    const [first, second, third] = [createRegistry(), createRegistry(), createRegistry()];
    crash(first, "a", ["deadly"]);
    crash(second, "b", ["deadly"]);
    exchange(first, second);
    expect(first.admit(["deadly"])).toBe("blocked");
    exchange(second, third);
    expect(third.admit(["deadly"])).toBe("blocked");
});

test("an instance that has served a part clears it at the others, and a reported block does not return", () => {
    const [first, second] = [createRegistry(), createRegistry()];
    first.recordServed(["preamble"]);
    ["a", "b"].forEach(server => crash(second, server, ["preamble", "deadly"]));
    // Until the others have answered, only requests with both parts are refused.
    expect(second.admit(["preamble"])).toBe("admitted");
    expect(second.admit(["preamble", "deadly"])).toBe("blocked");
    exchange(first, second);
    for (const registry of [first, second]) {
        vi.advanceTimersByTime(1_000);
        expect(registry.admit(["preamble"])).toBe("admitted");
        expect(registry.admit(["deadly"])).toBe("blocked");
    }
});

// Guards against a block that reports between instances keep alive after the requests have stopped.
test("a block lasts as long as its part is requested at some instance, and ends after that", () => {
    const [first, second] = [createRegistry(5), createRegistry(6)];
    ["a", "b"].forEach(server => crash(first, server, ["deadly"]));
    for (let elapsed = 0; elapsed < 200_000; elapsed += 10_000) {
        exchange(first, second);
        expect(second.admit(["deadly"])).toBe("blocked");
        vi.advanceTimersByTime(10_000);
    }
    exchange(first, second);
    expect(first.blockedParts).toBe(1);
    for (let elapsed = 0; elapsed < 70_000; elapsed += 500) {
        exchange(first, second);
        vi.advanceTimersByTime(400);
    }
    expect(first.admit(["deadly"])).toBe("admitted");
    expect(second.admit(["deadly"])).toBe("admitted");
});

test("the responsible instance probes a blocked part, rarely and without another blocked part", () => {
    const [responsible, other] = [createRegistry(0), createRegistry(1)];
    ["a", "b"].forEach(server => crash(responsible, server, ["deadly"]));
    exchange(responsible, other);
    const probes: number[] = [];
    const since = performance.now();
    for (let elapsed = 0; elapsed < 300_000; elapsed += 1_000) {
        vi.advanceTimersByTime(1_000);
        expect(other.admit(["deadly"])).toBe("blocked");
        if (responsible.admit(["deadly"]) === "probe") {
            responsible.recordProbe(["deadly"]);
            probes.push(Math.round((performance.now() - since) / 1_000));
        }
        exchange(responsible, other);
    }
    expect(probes.length).toBeLessThanOrEqual(3);
    expect(probes[0]).toBeGreaterThanOrEqual(27);
});

test("of two parts that were always together, the one that is requested alone is probed soon", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server, ["preamble", "deadly"]));
    vi.advanceTimersByTime(2_000);
    expect(registry.admit(["preamble", "deadly"])).toBe("blocked");
    expect(registry.admit(["preamble"])).toBe("probe");
    registry.recordProbe(["preamble"]);
    expect(registry.admit(["preamble"])).toBe("blocked");
    registry.recordServed(["preamble"]);
    expect(registry.admit(["preamble"])).toBe("admitted");
});

test("a probe that crashes its server shows which of two parts is the cause", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server, ["preamble", "deadly"]));
    vi.advanceTimersByTime(2_000);
    expect(registry.admit(["deadly"])).toBe("probe");
    crash(registry, "c", ["deadly"]);
    expect(registry.admit(["preamble"])).toBe("admitted");
    vi.advanceTimersByTime(20_000);
    expect(registry.admit(["deadly"])).toBe("blocked");
});

// Guards against the conviction of a sound part by one crash whose report arrives twice, the second time held up.
test("a report that was held up does not make one crash two", () => {
    const witness = createRegistry();
    const thawed = createRegistry();
    const aliveAt = performance.now();
    vi.advanceTimersByTime(100);
    witness.recordCrash({ server: "a", startedAt: 1, aliveAt, endedAt: performance.now(), parts: ["sound"] });
    const first = witness.createReport();
    vi.advanceTimersByTime(5);
    thawed.applyReport(first);
    vi.advanceTimersByTime(495);
    const second = witness.createReport();
    // The receiver is suspended while the report waits at its socket.
    vi.advanceTimersByTime(2_000);
    thawed.applyReport(second);
    expect(thawed.admit(["sound"])).toBe("admitted");
    witness.applyReport(thawed.createReport());
    expect(witness.admit(["sound"])).toBe("admitted");
});

// Guards against probes that are used up by requests which never reach a server.
test("a probe that was not sent does not put off the next one", () => {
    const registry = createRegistry();
    ["a", "b"].forEach(server => crash(registry, server, ["sound"]));
    vi.advanceTimersByTime(31_000);
    expect(registry.admit(["sound"])).toBe("probe");
    // The organisation is over its limit, no engine has memory, or the caller has gone: nothing is sent.
    vi.advanceTimersByTime(5_000);
    expect(registry.admit(["sound"])).toBe("probe");
});

// Guards against the refusal of a sound part at all instances but the one that probes it.
test("a sound part that was always together with another one is probed wherever it is requested", () => {
    const registries = Array.from({ length: 9 }, (_, rank) => createRegistry(rank));
    const [first] = registries;
    ["a", "b"].forEach(server => first && crash(first, server, ["preamble", "deadly"]));
    exchange(...registries);
    const last = registries.at(-1);
    vi.advanceTimersByTime(1_500);
    expect(last?.admit(["preamble"])).toBe("blocked");
    vi.advanceTimersByTime(4_000);
    expect(last?.admit(["preamble"])).toBe("probe");
    last?.recordServed(["preamble"]);
    exchange(...registries);
    registries.forEach(registry => expect(registry.admit(["preamble"])).toBe("admitted"));
});

// Guards against a crash that is counted again for requests that are sent while it is not known yet.
test("a request that is sent to an engine that has ended already is no second crash", () => {
    const registry = createRegistry();
    const aliveAt = performance.now();
    vi.advanceTimersByTime(RUN_MILLISECONDS);
    registry.recordCrash({ server: "a", startedAt: 1, aliveAt, endedAt: performance.now(), parts: ["sound"] });
    vi.advanceTimersByTime(200);
    registry.recordCrash({ server: "b", startedAt: 1, aliveAt, endedAt: performance.now(), parts: ["sound"] });
    expect(registry.admit(["sound"])).toBe("admitted");
});
