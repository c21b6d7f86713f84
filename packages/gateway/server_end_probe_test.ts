import { err } from "neverthrow";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { expect, test, vi } from "vitest";
import { BackendConnectionPool } from "../backends/mod.ts";
import { sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { ServerEndProbe } from "./server_end_probe.ts";

const SERVER = `
const server = require("node:http").createServer((request, response) => {
    if (request.url === "/run") { response.writeHead(200); response.write("x"); return; }
    setTimeout(() => response.end("ok"), 50);
});
server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

/** Number of further questions that a probe may send. */
const MAXIMUM_REPETITIONS = 12;
/** Time in milliseconds within which a probe must find out that an engine has ended which resets its kept connections. */
const FOUND_MILLISECONDS = 400;
const ASK_MILLISECONDS = 500;

interface ProbeParts {
    send: (server: RegisteredServer, request: object) => unknown;
    recordServerEnd?: (id: string, startedAt: number | undefined) => void;
    areLinksSound?: boolean;
    onLine?: (message: string, fields: Record<string, unknown> | undefined) => void;
}

function createProbe(
    { send, recordServerEnd = () => {}, onLine = () => {}, areLinksSound = true }: ProbeParts,
): ServerEndProbe {
    return new ServerEndProbe({
        serverClient: { send } as never,
        crashRegistry: { recordServerEnd } as never,
        serverLoads: { markTerminated: () => {} } as never,
        reachability: { confirmLinks: async () => areLinksSound },
        headers: { expectedServer: "expect" } as never,
        engineProtocol: { report: () => ({ method: "GET", path: "/report" }) } as never,
        logger: { info: onLine, warn: onLine, error: onLine },
    });
}

/** Starts an engine as a process. */
async function startEngine(): Promise<{ child: ChildProcess; address: string; }> {
    const child = spawn(process.execPath, ["-e", SERVER]);
    const [port] = await once(child.stdout, "data") as [Buffer];
    return { child, address: `127.0.0.1:${port.toString().trim()}` };
}

// Guards against an engine's end that is missed since the probe was sent on a kept connection, which broke as well.
test("the probe tells that an engine has ended though connections to it were idle", async () => {
    let confirmed = 0;
    const rounds = 10;
    const outcomes: unknown[] = [];
    const engines = await Promise.all(Array.from({ length: rounds }, startEngine));
    for (const { child, address } of engines) {
        const server = { id: "a", address } as RegisteredServer;
        const pool = new BackendConnectionPool();
        const send = (path: string) =>
            pool.send({ address, method: "GET", path, headers: ["Host", address], timeoutMilliseconds: 2_000 });
        // Leaves four idle connections.
        const answers = await Promise.all(["/1", "/2", "/3", "/4"].map(send));
        await Promise.all(answers.map(answer => answer._unsafeUnwrap().body.resume()).map(body => once(body, "end")));
        const run = (await send("/run"))._unsafeUnwrap();
        // On a busy machine, neither the end of the process nor the outcome of the probe comes within a fixed time.
        await new Promise<void>(resolve => {
            const probe = createProbe({
                send: (to, request) =>
                    pool.send({ ...request as Parameters<typeof pool.send>[0], address: to.address }),
                recordServerEnd: () => confirmed++,
                onLine: (_message, fields) => {
                    outcomes.push(fields?.["outcome"]);
                    setImmediate(resolve);
                },
            });
            run.body.on("close", () => probe.start(server));
            run.body.resume();
            child.kill("SIGKILL");
        });
        pool.close();
    }
    expect(outcomes).toEqual(engines.map(() => "ended"));
    expect(confirmed).toBe(rounds);
}, 30_000);

const RESET = { kind: "reset", milliseconds: 0 };
const REFUSED = { kind: "unreachable", milliseconds: 0, portClosed: true };
/** A connection that the kernel of an ending process took and reset before it counted as established. */
const RESET_EARLY = { kind: "unreachable", milliseconds: 0 };
/** A connection that the kernel of an ending process took, or an answer that came while the router stood still. */
const UNANSWERED = { kind: "timeout", milliseconds: ASK_MILLISECONDS };
const CROSSED = { kind: "crossed", milliseconds: 0 };

// Guards against an engine's end that is missed since its process took a while to end, or since the router came late; and
// against an engine that is taken for ended although no connection to it was refused.
test.each([
    { name: "refuses", answers: [REFUSED], isEnded: true, within: 0 },
    { name: "resets kept connections", answers: [RESET, RESET, RESET, RESET, REFUSED], isEnded: true },
    { name: "resets an early connection", answers: [RESET_EARLY, REFUSED], isEnded: true },
    { name: "resets connections of both kinds", answers: [RESET, RESET_EARLY, RESET, REFUSED], isEnded: true },
    { name: "lets one question pass", answers: [UNANSWERED, REFUSED], isEnded: true, within: 600 },
    { name: "never answers", answers: Array(20).fill(UNANSWERED), isEnded: false, within: 2_600 },
    { name: "resets all connections", answers: Array(20).fill(RESET), isEnded: false },
    { name: "resets all early connections", answers: Array(20).fill(RESET_EARLY), isEnded: false },
    { name: "cannot be reached by an isolated router", answers: [REFUSED], isEnded: false, areLinksSound: false },
    { name: "gives another's answer", answers: [CROSSED, REFUSED], isEnded: false },
])(
    "an engine that $name counts as ended: $isEnded",
    async ({ answers, isEnded, within = FOUND_MILLISECONDS, areLinksSound = true }) => {
        vi.useFakeTimers();
        let asked = 0;
        let ended = 0;
        let probedAfter = Number.POSITIVE_INFINITY;
        const startedAt = performance.now();
        const probe = createProbe({
            send: async () => {
                const { milliseconds, ...fault } = answers[asked++] ?? RESET;
                await sleep(milliseconds);
                return err({ portClosed: false, ...fault });
            },
            areLinksSound,
            recordServerEnd: () => ended++,
            onLine: () => probedAfter = performance.now() - startedAt,
        });
        probe.start({ id: "a", address: "127.0.0.1:9" } as RegisteredServer);
        await vi.advanceTimersByTimeAsync(10_000);
        vi.useRealTimers();
        expect(ended).toBe(isEnded ? 1 : 0);
        expect(probedAfter).toBeLessThanOrEqual(within);
        expect(asked).toBeLessThanOrEqual(isEnded ? answers.length : MAXIMUM_REPETITIONS + 1);
    },
);

// Guards against a server whose end is never noticed again since an error has ended a probe of it.
test("a probe that fails is logged and the server can be probed again", async () => {
    vi.useFakeTimers();
    const errors: string[] = [];
    let asked = 0;
    const probe = createProbe({
        send: () => {
            asked++;
            return Promise.reject(new Error("The probe cannot be sent"));
        },
        onLine: (message, fields) => errors.push(`${message} ${String(fields?.["server"])}`),
    });
    for (let attempt = 0; attempt < 2; attempt++) {
        probe.start({ id: "a", address: "127.0.0.1:9" } as RegisteredServer);
        await vi.advanceTimersByTimeAsync(0);
    }
    vi.useRealTimers();
    expect(errors).toEqual(["probe failed a", "probe failed a"]);
    expect(asked).toBe(2);
});

// Guards against a new process whose end nobody looks for, and whose requests are held against it, since it started under the id and
// its connection broke while the former one was probed: that one's address was probed again instead.
test("an engine that has started again at another address while it is probed is probed there", async () => {
    vi.useFakeTimers();
    const asked: string[] = [];
    const ended: [string, number | undefined][] = [];
    const probe = createProbe({
        send: async ({ address }) => {
            asked.push(address);
            return err({ kind: "unreachable", portClosed: true });
        },
        recordServerEnd: (id, startedAt) => ended.push([id, startedAt]),
    });
    probe.start({ id: "a", address: "127.0.0.1:9", startedAt: 1 } as RegisteredServer);
    await vi.advanceTimersByTimeAsync(100);
    probe.start({ id: "a", address: "127.0.0.1:8", startedAt: 2 } as RegisteredServer);
    await vi.advanceTimersByTimeAsync(2_000);
    vi.useRealTimers();
    expect(asked).toEqual(["127.0.0.1:9", "127.0.0.1:8"]);
    expect(ended).toEqual([["a", 1], ["a", 2]]);
});
