import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import { decideVersion } from "./_decide_version.ts";
import { isProcessOf } from "./_is_process_of.ts";
import type { EngineClient } from "./engine_client.ts";
import type { EngineProcesses } from "./engine_processes.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PromptHistory } from "./prompt_history.ts";
import type { RunTrace } from "./run_trace.ts";

const TIMEOUT_MILLISECONDS = 600;
/** Time in milliseconds for which requests that had arrived before share one question to an engine. */
const SHARED_MILLISECONDS = 500;
/** Tokens by which what is kept of a part that has been read may fall short of it, since engines keep whole blocks of tokens. */
const UNREAD_TOKENS = 32;

/** Dependencies of {@linkcode RunWitness}. */
interface RunWitnessOptions {
    directory: Pick<Directory, "servers">;
    engineProcesses: Pick<EngineProcesses, "former">;
    engineClient: Pick<EngineClient, "call">;
    engineProtocol: Pick<EngineProtocol, "report" | "parseReport" | "promptHistory" | "parsePromptHistory">;
}

/** A stream of which nobody but the engines can tell what began it. */
interface UnknownStream {
    request: Pick<GatewayRequest, "promptSections" | "service" | "receivedAt">;
    /** Id of the caller's attempt that got its first event. */
    firstAttempt: string | undefined;
    /** Version that a record names without saying which process wrote the stream. */
    claimedVersion: string | undefined;
}

/** What the engines say of a stream. */
interface Testimony {
    /** The only version of which a process can have written the stream; undefined if the engines leave that open. */
    version: string | undefined;
    /** Versions of the processes that have read the prompt. */
    readAt: string[];
    /** Number of registered engines that did not answer. */
    silent: number;
    /** Number of processes that have ended or can't tell all that they have read. */
    untold: number;
}

/** What one process says of all that it has run. */
interface Account {
    startedAt: number | undefined;
    /** Whether it runs requests now, or may have done so before an order changed its stage. */
    decodes: "now" | "before" | "never";
    runs: ReadonlySet<string>;
    history: PromptHistory | undefined;
}

/** The last question to an engine. */
interface Question {
    startedAt: number;
    answer: Promise<Account | "none">;
}

/**
 * Finds out from the engines which software version began a stream of which no instance knows any more. A process that has never
 * read the whole prompt has not written its stream, and one that runs the stream has.
 * That an engine keeps a prompt tells of the prompt alone: an earlier request may have left it, and what began the stream may have
 * ended or evicted it.
 *
 * @example
 * ```ts
 * const witness = new RunWitness({ directory, engineProcesses, engineClient, engineProtocol });
 * (await witness.ask({ request, firstAttempt: "9c41d07b", claimedVersion: undefined })).version; // "v2"
 * ```
 */
export class RunWitness {
    readonly #questions = new Map<string, Question>();
    /** Engines that have left and did not answer any more. */
    readonly #ended = new WeakSet<RegisteredServer>();

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: RunWitnessOptions) {}

    /**
     * Asks all engines of a request's service, and decode engines that have left lately, what they have run.
     *
     * @param stream The stream.
     * @returns What they say.
     */
    async ask(stream: UnknownStream): Promise<Testimony> {
        const { directory, engineProcesses } = this.options;
        const { service } = stream.request;
        const isWitness = (server: RegisteredServer) => server.service === service.name && server.stage !== undefined;
        const registered = [...directory.servers.values()].filter(isWitness);
        const former = engineProcesses.former.filter(server => isWitness(server) && server.stage === "decode");
        const traces = (await Promise.all([...registered, ...former].map(engine => this.#trace(engine, stream))))
            .flat();
        return {
            version: decideVersion(traces, stream.claimedVersion),
            readAt: [...new Set(traces.filter(isRead).flatMap(({ version }) => version ?? []))],
            silent: traces.filter(({ kind }) => kind === "silent").length,
            untold: traces.filter(({ kind }) => kind === "untold").length,
        };
    }

    /** Traces of the process that is registered, or was, and of another one that answers in its place. */
    async #trace(engine: RegisteredServer, stream: UnknownStream): Promise<RunTrace[]> {
        const { directory } = this.options;
        const account = this.#ended.has(engine) ? "none" : await this.#account(engine, stream.request.receivedAt);
        const entry = directory.servers.get(engine.id);
        const isRegistered = entry?.startedAt === engine.startedAt;
        if (account === "none" && isRegistered && !engine.leaving) {
            // It may yet answer, or be removed.
            return engine.stage === "decode" ? [{ kind: "silent", version: undefined }] : [];
        }
        if (account === "none") {
            if (!isRegistered) {
                this.#ended.add(engine);
            }
            // Unless it was leaving, or the process after it is known, another one may have been there under its id.
            const isKnown = entry !== undefined || engine.leaving;
            return [{ kind: "untold", version: isKnown ? engine.softwareVersion : undefined }];
        }
        if (isProcessOf(engine, account.startedAt)) {
            return [{ kind: findTrace(account, stream), version: engine.softwareVersion }];
        }
        const ended: RunTrace = { kind: "untold", version: engine.softwareVersion };
        const isAskedByEntry = !isRegistered && entry?.startedAt === account.startedAt;
        return isAskedByEntry ? [ended] : [ended, { kind: findTrace(account, stream), version: undefined }];
    }

    #account(engine: RegisteredServer, since: number): Promise<Account | "none"> {
        const now = monotonicMilliseconds();
        const key = `${engine.id} ${engine.address}`;
        const shared = this.#questions.get(key);
        // The stream may have begun after an earlier question, but not after its caller took it up.
        if (shared && shared.startedAt >= since && now - shared.startedAt < SHARED_MILLISECONDS) {
            return shared.answer;
        }
        const question = { startedAt: now, answer: this.#ask(engine) };
        this.#questions.set(key, question);
        [...this.#questions].filter(([, { startedAt }]) => now - startedAt >= SHARED_MILLISECONDS)
            .forEach(([key]) => this.#questions.delete(key));
        return question.answer;
    }

    async #ask(engine: RegisteredServer): Promise<Account | "none"> {
        const { engineClient, engineProtocol } = this.options;
        const told = await engineClient.call(engine, engineProtocol.promptHistory(), TIMEOUT_MILLISECONDS);
        // Asked last: a process that tells its start has also given the history, since it began before that.
        const state = told.status === 0
            ? told
            : await engineClient.call(engine, engineProtocol.report(), TIMEOUT_MILLISECONDS);
        const report = state.status === 200 ? engineProtocol.parseReport(state.body) : undefined;
        if (!report) {
            return "none";
        }
        const history = told.status === 200 ? engineProtocol.parsePromptHistory(told.body) : undefined;
        const { startedAt, runs, stage, sequence } = report;
        // One that has not accepted an order has been at its stage since its start.
        const decodes = stage !== "prefill" ? "now" : sequence > 0 ? "before" : "never";
        return { startedAt, decodes, runs, history };
    }
}

/** What a process shows of a stream, by its account. */
function findTrace(
    { decodes, runs, history }: Account,
    { request: { promptSections, service }, firstAttempt }: UnknownStream,
): RunTrace["kind"] {
    if (decodes === "never") {
        return "none";
    }
    if (firstAttempt !== undefined && runs.has(firstAttempt)) {
        return "runs";
    }
    const section = promptSections.at(-1);
    if (!section || !history) {
        return "untold";
    }
    const kept = history.tokens.get(section.key.slice(`${service.name}/`.length));
    if (kept === undefined || kept <= section.tokens - UNREAD_TOKENS) {
        return history.isComplete ? "none" : "untold";
    }
    // What is generated is kept with the last part of its prompt.
    return decodes === "now" || kept > section.tokens ? "read" : "prefilled";
}

function isRead({ kind }: RunTrace): boolean {
    return kind === "read" || kind === "runs";
}
