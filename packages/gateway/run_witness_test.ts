import { expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { RunWitness } from "./run_witness.ts";

const SERVICE = { name: "models" };
const PROMPT_SECTIONS = [{ key: "models/last", tokens: 50 }];

type Options = ConstructorParameters<typeof RunWitness>[0];
type Stream = Parameters<RunWitness["ask"]>[0];

/** Answers of an engine: its stage, its orders, and the tokens that it has kept of the prompt's last part. */
interface Engine {
    version: string;
    stage: "prefill" | "decode";
    orders: number;
    tokens?: number;
    runs?: string[];
}

function createWitness(engines: Engine[]): RunWitness {
    const servers = new Map(engines.map(({ version, stage }) => [
        version,
        { id: version, service: SERVICE.name, stage, softwareVersion: version, startedAt: 1 } as RegisteredServer,
    ]));
    const answerOf = ({ id }: RegisteredServer) => JSON.stringify(engines.find(({ version }) => version === id));
    const options = {
        directory: { servers },
        engineProcesses: { former: [] },
        engineClient: { call: async (server: RegisteredServer) => ({ status: 200, body: answerOf(server) }) },
        engineProtocol: {
            report: () => ({}),
            promptHistory: () => ({}),
            parseReport: (body: string) => {
                const { stage, orders, runs } = JSON.parse(body) as Engine;
                return { stage, sequence: orders, startedAt: 1, runs: new Set(runs) };
            },
            parsePromptHistory: (body: string) => {
                const { tokens } = JSON.parse(body) as Engine;
                return { isComplete: true, tokens: new Map(tokens === undefined ? [] : [["last", tokens]]) };
            },
        },
    };
    return new RunWitness(options as unknown as Options);
}

function createStream(): Stream {
    const request = { service: SERVICE, promptSections: PROMPT_SECTIONS, receivedAt: monotonicMilliseconds() };
    return { request, firstAttempt: "s1", claimedVersion: undefined } as unknown as Stream;
}

// Guards against streams joined since an answer of before their first event was shared with the request that takes them up.
test("an engine is asked again for a stream that may have begun since", async () => {
    const engines: Engine[] = [
        { version: "v1", stage: "decode", orders: 0, tokens: 50 },
        { version: "v2", stage: "decode", orders: 0 },
    ];
    const witness = createWitness(engines);
    expect((await witness.ask(createStream())).version).toBe("v1");
    engines[1]!.tokens = 60;
    await new Promise(resolve => setTimeout(resolve, 5));
    expect(await witness.ask(createStream())).toMatchObject({ version: undefined, readAt: ["v1", "v2"] });
});

// Guards against streams joined since the engine that began them has changed its stage.
test.each(
    [
        ["decoded before, read", { stage: "prefill", orders: 1, tokens: 50 }, 50, undefined],
        ["decoded before, generated", { stage: "prefill", orders: 1, tokens: 60 }, 50, undefined],
        [
            "decoded before, generated, nobody else has read",
            { stage: "prefill", orders: 1, tokens: 60 },
            undefined,
            "v2",
        ],
        ["decoded before, never read", { stage: "prefill", orders: 1 }, 50, "v1"],
        ["has only computed prompts", { stage: "prefill", orders: 0, tokens: 50 }, 50, "v1"],
    ] as const,
)("an engine of the prefill stage is asked: %s", async (_name, newer, tokens, expected) => {
    const older: Engine = { version: "v1", stage: "decode", orders: 0, ...tokens === undefined ? {} : { tokens } };
    const witness = createWitness([older, { version: "v2", ...newer }]);
    expect((await witness.ask(createStream())).version).toBe(expected);
});

// Guards against streams joined since an engine that was given up before its first event still runs the attempt.
test.each([
    ["one engine", ["s1"], [], "v1"],
    ["engines of two versions", ["s1"], ["s1"], undefined],
])("an attempt that still runs at %s", async (_name, older, newer, expected) => {
    const witness = createWitness([
        { version: "v1", stage: "decode", orders: 0, tokens: 50, runs: older },
        { version: "v2", stage: "decode", orders: 0, tokens: 50, runs: newer },
    ]);
    expect((await witness.ask(createStream())).version).toBe(expected);
});
