import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { LoadPolicies } from "../decisions/mod.ts";
import { DecodeQueue } from "./decode_queue.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { ServerLoad } from "./server_load.ts";

const MEMORY_TOKENS = 1_000;
/** Engine with room; the engine `full` has none. */
const SILENT = "silent";
/** Longer than the period after which the queue is checked, and shorter than the longest wait. */
const CHECKED_MILLISECONDS = 100;
/** Longer than the longest wait of a request that can be refused. */
const REFUSED_MILLISECONDS = 1_000;

let queue: DecodeQueue;
let loads: Map<string, ServerLoad>;
/** Answers calls to engines. */
let callEngine: () => Promise<{ status: number; body: string; }>;

beforeEach(() => {
    vi.useFakeTimers();
    callEngine = () => Promise.resolve({ status: 200, body: "" });
    queue = createQueue();
});

afterEach(() => {
    queue.close();
    vi.useRealTimers();
});

function createQueue(versions: Record<string, string> = {}): DecodeQueue {
    loads = new Map([[SILENT, new ServerLoad()], ["full", new ServerLoad()]]);
    loads.forEach((load, id) => {
        load.reservedTokens = id === "full" ? MEMORY_TOKENS : 0;
    });
    const servers = [...loads.keys()].map(id => {
        return { id, slots: 8, service: "models", stage: "decode", softwareVersion: versions[id] ?? "v1" };
    });
    const context = {
        availability: {
            usableServers: () => servers,
            preferStaying: (list: unknown) => list,
            findRefusal: () => undefined,
            refuseVersion: () => undefined,
        },
        rollouts: {
            select: (_service: string, _route: string, list: unknown) => list,
            alike: (_selected: unknown, list: unknown) => list,
            count: () => {},
        },
        serverLoads: { get: (id: string) => loads.get(id), admits: () => true },
        streamVersions: { isListed: () => true },
        serverLimits: { admits: () => true, take: () => () => {} },
        serverSubset: { narrow: (list: unknown) => list },
        engineProtocol: { reserve: () => ({}), parseReservation: () => "h1" },
        loadPolicies: new LoadPolicies(() => undefined, () => [], 1),
        metrics: { increment: () => {}, observe: () => {} },
        logger: { info: () => {} },
    } as unknown as GatewayContext;
    const engineClient = { call: () => callEngine() } as never;
    const prefillDispatcher = {
        tokensPerMillisecond: 25,
        estimateMilliseconds: () => 4,
        isLocalPrefillFaster: () => false,
    } as never;
    return new DecodeQueue(context, engineClient, prefillDispatcher);
}

function createRequest(id: string, promptTokens = 100): GatewayRequest {
    return {
        id,
        promptTokens,
        outputTokens: 0,
        urgency: 1,
        receivedAt: monotonicMilliseconds(),
        deadline: monotonicMilliseconds() + 10_000,
        signal: new AbortController().signal,
        route: { targetLatencyMilliseconds: 2_000 },
        service: { name: "models", engine: { memoryTokens: MEMORY_TOKENS, maximumReservationMilliseconds: 1_000 } },
    } as unknown as GatewayRequest;
}

// Guards against searches for another engine of a silent stream that hold up all later requests of the service.
test("a request is not held up by a search that only excludes the engine with room", async () => {
    void queue.acquire(createRequest("search"), new Set([SILENT]));
    const reservation = queue.acquire(createRequest("new"), new Set());
    await vi.advanceTimersByTimeAsync(0);
    expect(queue.length).toBe(1);
    expect((await reservation).isOk()).toBe(true);
});

// Guards against large requests that wait for ever since smaller ones overtake them.
test("a request without exclusions is not overtaken by a later one", async () => {
    void queue.acquire(createRequest("large", MEMORY_TOKENS + 1), new Set());
    void queue.acquire(createRequest("new"), new Set());
    await vi.advanceTimersByTimeAsync(0);
    expect(queue.length).toBe(2);
});

// Guards against streams that callers take up and that lose their place although every engine may continue them.
test.each<{ name: string; versions: Record<string, string>; tokens: number; waiting: number; }>([
    { name: "while all engines have its version", versions: {}, tokens: MEMORY_TOKENS + 1, waiting: 2 },
    { name: "but lets them use other versions", versions: { [SILENT]: "v2" }, tokens: 100, waiting: 1 },
])("a stream that is taken up is not overtaken $name", async ({ versions, tokens, waiting }) => {
    queue = createQueue(versions);
    void queue.acquire(createRequest("taken-up", tokens), new Set(), { softwareVersion: "v1" });
    void queue.acquire(createRequest("new"), new Set());
    await vi.advanceTimersByTimeAsync(0);
    expect(queue.length).toBe(waiting);
});

// Guards against searches that wait for memory, and may take it, when the silent engine has gone on.
test("a search leaves the queue once it is no longer wanted", async () => {
    let isWanted = true;
    const search = queue.acquire(createRequest("search"), new Set([SILENT]), { isWanted: () => isWanted });
    await vi.advanceTimersByTimeAsync(CHECKED_MILLISECONDS);
    expect(queue.length).toBe(1);
    isWanted = false;
    await vi.advanceTimersByTimeAsync(CHECKED_MILLISECONDS);
    expect(queue.length).toBe(0);
    expect((await search).isErr()).toBe(true);
});

// Guards against streams that broke off and are cut while later requests take the memory that becomes free.
test("a request whose answer has begun waits longer than others and goes first", async () => {
    const excluded = new Set(["full", SILENT]);
    const request = { ...createRequest("begun", MEMORY_TOKENS), receivedAt: monotonicMilliseconds() - 5_000 };
    const begun = queue.acquire(request, excluded, { answerBegun: true });
    const refused = queue.acquire(createRequest("refused"), excluded);
    await vi.advanceTimersByTimeAsync(REFUSED_MILLISECONDS);
    expect((await refused).isErr()).toBe(true);
    void queue.acquire(createRequest("later", MEMORY_TOKENS), excluded);
    excluded.delete(SILENT);
    await vi.advanceTimersByTimeAsync(CHECKED_MILLISECONDS);
    expect((await begun).isOk()).toBe(true);
    expect(queue.length).toBe(1);
});

// Guards against requests that are never answered since an error in a reservation loses them.
test("an error in a reservation ends the wait and takes the memory back", async () => {
    callEngine = () => Promise.reject(new Error("The call cannot be sent"));
    const failed = expect(queue.acquire(createRequest("failed"), new Set())).rejects.toThrow("cannot be sent");
    await vi.advanceTimersByTimeAsync(CHECKED_MILLISECONDS);
    await failed;
    expect(queue.length).toBe(0);
    expect(loads.get(SILENT)).toMatchObject({ reservedTokens: 0, active: 0 });
});

// Guards against requests that are never answered since an error while the queue is checked stops all later checks.
test("an error in the check of one request does not stop the others", async () => {
    const faulty = createRequest("faulty", MEMORY_TOKENS + 1);
    const waiting = queue.acquire(faulty, new Set());
    await vi.advanceTimersByTimeAsync(0);
    Object.defineProperty(faulty, "service", {
        get: () => {
            throw new Error("The service cannot be read");
        },
    });
    const failed = expect(waiting).rejects.toThrow("cannot be read");
    await vi.advanceTimersByTimeAsync(CHECKED_MILLISECONDS);
    await failed;
    expect((await queue.acquire(createRequest("later"), new Set())).isOk()).toBe(true);
});
