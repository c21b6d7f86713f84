import { err, ok } from "neverthrow";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { RegisteredServer, ServiceProfile } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { AnswerEndCheck } from "./answer_end_check.ts";

const server = { id: "a", address: "127.0.0.1:1", startedAt: 1 } as RegisteredServer;
const engines = { name: "models", engine: {}, healthPath: "/health" } as ServiceProfile;
const plain = { name: "orders", engine: undefined, healthPath: "/health" } as ServiceProfile;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function fault(kind: string, portClosed = false) {
    return err({ kind, verdict: "may-have-run", message: kind, portClosed });
}

function answer(status: number) {
    const body = Object.assign(new PassThrough().end("{}"), { complete: true });
    return ok({ status, headers: {}, body, framing: "length", trailing: () => Buffer.alloc(0), wasReset: () => false });
}

/** A check of a server that responds with these outcomes, the last one again and again, each after a time in milliseconds. */
function createCheck(outcomes: unknown[], milliseconds = 1) {
    const paths: string[] = [];
    const avoided: string[] = [];
    const send = (_server: RegisteredServer, { path }: { path: string; }) => {
        paths.push(path);
        const outcome = outcomes[Math.min(paths.length, outcomes.length) - 1];
        return new Promise(resolve => setTimeout(() => resolve(outcome), milliseconds));
    };
    const servers = new Map([[server.id, server]]);
    const check = new AnswerEndCheck({
        directory: { servers },
        serverClient: { send } as never,
        serverLoads: { avoid: (id: string) => avoided.push(id) } as never,
        headers: { expectedServer: "expect" } as never,
        engineProtocol: { report: () => ({ method: "GET", path: "/report" }) } as never,
        metrics: new Metrics(),
        logger: { info: () => {}, warn: () => {}, error: () => {} },
    });
    return { check, paths, avoided, servers };
}

test.each([
    ["it answers", [answer(200)], "running", 1],
    ["it is full", [answer(503)], "running", 1],
    ["another server answers", [answer(421)], "ended", 1],
    ["its port is closed", [fault("unreachable", true)], "ended", 1],
    [
        "kept connections are reset, then its port is closed",
        [fault("reset"), fault("reset"), fault("unreachable", true)],
        "ended",
        3,
    ],
    ["it answers after a reset and a silence", [fault("reset"), fault("timeout"), answer(200)], "running", 3],
    ["bytes that are no answer, then one", [fault("malformed"), answer(200)], "running", 2],
    ["nothing but resets", [fault("reset")], "unknown", 8],
])(
    "a server is judged by what it does after the end of its answer: %s",
    async (_name, outcomes, expected, questions) => {
        const { check, paths, avoided } = createCheck(outcomes);
        const state = check.confirm(server, engines, new AbortController().signal);
        await vi.advanceTimersByTimeAsync(5_000);
        expect([await state, paths.length, avoided.length]).toEqual([
            expected,
            questions,
            expected === "ended" ? 1 : 0,
        ]);
    },
);

test("engines are asked for their report, other servers for their health", async () => {
    const { check, paths } = createCheck([answer(200), answer(200)]);
    for (const service of [engines, plain]) {
        const state = check.confirm(server, service, new AbortController().signal);
        await vi.advanceTimersByTimeAsync(10);
        expect(await state).toBe("running");
    }
    expect(paths).toEqual(["/report", "/health"]);
});

// Guards against an answer that is taken for whole by a question that was sent before its end, and against a question for each of
// many answers that end together.
test("answers share the first question that is sent after their ends", async () => {
    const { check, paths } = createCheck([answer(200), fault("unreachable", true)], 100);
    const { signal } = new AbortController();
    const before = [check.confirm(server, engines, signal), check.confirm(server, engines, signal)];
    await vi.advanceTimersByTimeAsync(50);
    const meanwhile = [check.confirm(server, engines, signal), check.confirm(server, engines, signal)];
    await vi.advanceTimersByTimeAsync(200);
    expect(await Promise.all([...before, ...meanwhile])).toEqual(["running", "running", "ended", "ended"]);
    expect(paths).toHaveLength(2);
});

test("a request that is given up waits for no response", async () => {
    const { check } = createCheck([answer(200)], 1_000);
    const abort = new AbortController();
    const state = check.confirm(server, engines, abort.signal);
    abort.abort();
    expect(await state).toBe("unknown");
    expect(await check.confirm(server, engines, abort.signal)).toBe("unknown");
});

// Guards against half an answer that is passed on as a whole one since the process that broke it off has started again under its id
// before it was reached, and has answered for its predecessor.
test.each([
    ["after a silence", [fault("timeout"), answer(200), answer(200)]],
    ["after resets of an ending process", [fault("reset"), fault("reset"), answer(200), answer(200)]],
    ["at once", [answer(200), answer(200)]],
])("a server that answers %s has ended if it is registered with another start", async (_name, outcomes) => {
    const { check, avoided, servers } = createCheck(outcomes);
    const { signal } = new AbortController();
    const state = check.confirm(server, plain, signal);
    const next = { ...server, startedAt: 2 };
    servers.set(next.id, next);
    const nextState = check.confirm(next, plain, signal);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(await Promise.all([state, nextState])).toEqual(["ended", "running"]);
    expect(avoided).toEqual([]);
});
