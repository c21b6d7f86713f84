import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import type { KeepingBelief } from "../prompt_memory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { PrefillEngines } from "./prefill_engines.ts";
import { ServerLoad } from "./server_load.ts";

const TOKENS = 3_000;
const SERVERS = ["engine-0", "engine-1"].map(id => (
    { id, service: "models", stage: "prefill", startedAt: 1, failureDomain: "north" } as RegisteredServer
));
const [SERVER, OTHER] = SERVERS as [RegisteredServer, RegisteredServer];
const REQUEST = {
    promptTokens: TOKENS,
    route: { name: "plans" },
    promptSections: [{ key: "models/a", tokens: TOKENS }],
    service: { name: "models", engine: { memoryTokens: 30_000 } },
} as unknown as GatewayRequest;

let loads: Map<string, ServerLoad>;
let recorded: { logarithm: number; weight: number; }[];
let outcomes: [KeepingBelief, boolean][];
let savedTokens: number;
let engines: PrefillEngines;

beforeEach(() => {
    vi.useFakeTimers();
    loads = new Map(SERVERS.map(({ id }) => [id, new ServerLoad()]));
    [recorded, outcomes, savedTokens] = [[], [], 0];
    const context = {
        availability: { usableServers: () => SERVERS, preferStaying: (list: unknown) => list },
        serverLoads: { get: (id: string) => loads.get(id), admits: () => true },
        serverLimits: { admits: () => true },
        rollouts: {
            select: (_service: string, _route: string, list: unknown) => list,
            alike: (_selected: unknown, list: unknown) => list,
        },
        serverSubset: { narrow: (list: unknown) => list },
        peerLoadWeight: () => 1,
        engineSpeeds: {
            isOn: true,
            record: (_: unknown, __: unknown, logarithm: number, weight: number) =>
                recorded.push({ logarithm, weight }),
        },
        promptMemory: {
            recordKept: () => {},
            recordOutcome: (belief: KeepingBelief, isKept: boolean) => outcomes.push([belief, isKept]),
            expectSavings: () => new Map([[SERVER.id, { belief: "first", tokens: savedTokens }]]),
        },
    } as unknown as GatewayContext;
    engines = new PrefillEngines(context);
});

afterEach(() => {
    vi.useRealTimers();
});

function learn(milliseconds: number, belief: KeepingBelief = "none", queuedTokens = 0): void {
    const saving = { belief, tokens: 0 };
    engines.learn({ server: SERVER, request: REQUEST, saving, queuedTokens, idle: queuedTokens === 0, milliseconds });
}

/** Lets the speed of the median be learned from engines that were idle. */
function learnMedian(tokensPerMillisecond: number): void {
    for (let run = 0; run < 80; run++) {
        learn(TOKENS / tokensPerMillisecond);
    }
    recorded = [];
    outcomes = [];
}

test.each([
    ["as fast as the median", 100, 0, 1, 1],
    ["half as fast", 200, 0, 0.5, 1],
    ["as fast, after a queued prompt", 200, TOKENS, 1, 0.5],
])("a run shows that an engine is %s", (_, milliseconds, queuedTokens, factor, weight) => {
    learnMedian(30);
    learn(milliseconds, "none", queuedTokens);
    expect(Math.exp(recorded[0]?.logarithm ?? 0)).toBeCloseTo(factor, 2);
    expect(recorded[0]?.weight).toBeCloseTo(weight);
});

test("a prompt that was kept shows a true belief and no speed; without a belief, it shows a fast engine", () => {
    learnMedian(30);
    const before = engines.tokensPerMillisecond;
    learn(10, "first");
    expect(outcomes).toEqual([["first", true]]);
    expect(recorded).toEqual([]);
    expect(engines.tokensPerMillisecond).toBe(before);
    learn(100, "first");
    expect(outcomes.at(-1)).toEqual(["first", false]);
    learn(10);
    expect(recorded).toHaveLength(2);
});

// Guards against engines of an unknown speed that seem to keep every prompt.
test("no belief is judged or used before the speed of the median is known", () => {
    savedTokens = TOKENS;
    learn(10, "first");
    expect(outcomes).toEqual([]);
    expect(engines.choose(REQUEST, undefined, new Set([OTHER.id]))?.saving.belief).toBe("none");
});

// Guards against slow engines that count as failed.
test("the speed below which an engine counts as failed allows for slow engines, within bounds", () => {
    expect(engines.slowestSpeed(SERVER)).toBe(12);
    learnMedian(30);
    loads.get(SERVER.id)!.speedFactor = 0.4;
    expect(engines.slowestSpeed(SERVER)).toBeCloseTo(6, 1);
    loads.get(SERVER.id)!.speedFactor = 0.01;
    expect(engines.slowestSpeed(SERVER)).toBe(3);
    expect(engines.slowestSpeed(OTHER)).toBe(12);
});

test.each<[string, Partial<ServerLoad>, "queue" | "slow" | undefined]>([
    ["is chosen while it is idle", {}, undefined],
    ["is passed over for its queue", { prefillTokens: 4 * TOKENS }, "queue"],
    ["is passed over since it is slow", { speedFactor: 0.2 }, "slow"],
])("a keeper %s", (_, load, reason) => {
    learnMedian(30);
    savedTokens = 0.5 * TOKENS;
    Object.assign(loads.get(SERVER.id)!, load);
    const choice = engines.choose(REQUEST, undefined, new Set());
    expect(choice?.passedOver?.reason).toBe(reason);
    expect(choice?.server.id).toBe(reason ? OTHER.id : SERVER.id);
});
