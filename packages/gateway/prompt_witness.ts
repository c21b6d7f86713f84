import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import type { EngineClient } from "./engine_client.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { GatewayRequest } from "./gateway_request.ts";

const TIMEOUT_MILLISECONDS = 600;
/** Time in milliseconds for which requests share one question to an engine, since it delays the engine's work. */
const SHARED_MILLISECONDS = 500;

/** Dependencies of {@linkcode PromptWitness}. */
interface PromptWitnessOptions {
    directory: Pick<Directory, "servers">;
    engineClient: Pick<EngineClient, "call">;
    engineProtocol: Pick<EngineProtocol, "listKeptParts" | "parseKeptParts">;
}

/** Versions whose engines keep the prompt of a stream. */
interface Testimony {
    /** The only version of which an engine has run the stream; undefined if the engines leave that open. */
    version: string | undefined;
    /** Versions of the engines that keep the prompt. */
    keptAt: string[];
    /** Number of engines that did not answer. */
    silent: number;
}

/** The last question to an engine. */
interface Question {
    startedAt: number;
    /** Ids of the parts that the engine keeps; undefined if it did not answer. */
    answer: Promise<ReadonlySet<string> | undefined>;
}

/**
 * Finds out from the engines which software version began a stream of which no instance knows any more: a decode engine
 * keeps what it has read of prompts for a while, and the last part of a prompt belongs to its request or session alone.
 *
 * @example
 * ```ts
 * const witness = new PromptWitness({ directory, engineClient, engineProtocol });
 * (await witness.ask(request)).version; // "v2"
 * ```
 */
export class PromptWitness {
    readonly #questions = new Map<string, Question>();

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: PromptWitnessOptions) {}

    /**
     * Asks all decode engines of a request's service which prompts they keep.
     *
     * @param request The request, which takes a stream up.
     * @returns What they say. One that does not answer may be the one that ran the stream, so that it is left open then.
     */
    async ask(request: Pick<GatewayRequest, "promptSections" | "service">): Promise<Testimony> {
        const { service, promptSections } = request;
        const part = promptSections.at(-1)?.key.slice(`${service.name}/`.length);
        if (part === undefined) {
            return { version: undefined, keptAt: [], silent: 0 };
        }
        const engines = [...this.options.directory.servers.values()]
            .filter(server => server.service === service.name && server.stage === "decode");
        const kept = await Promise.all(engines.map(async engine => ({
            version: engine.softwareVersion,
            parts: await this.#listKeptParts(engine),
        })));
        const keptAt = [...new Set(kept.filter(({ parts }) => parts?.has(part)).map(({ version }) => version))];
        const silent = kept.filter(({ parts }) => !parts).length;
        return { version: keptAt.length === 1 && silent === 0 ? keptAt[0] : undefined, keptAt, silent };
    }

    #listKeptParts(engine: RegisteredServer): Promise<ReadonlySet<string> | undefined> {
        const now = monotonicMilliseconds();
        const shared = this.#questions.get(engine.id);
        if (shared && now - shared.startedAt < SHARED_MILLISECONDS) {
            return shared.answer;
        }
        const question = { startedAt: now, answer: this.#ask(engine) };
        this.#questions.set(engine.id, question);
        [...this.#questions].filter(([, { startedAt }]) => now - startedAt >= SHARED_MILLISECONDS)
            .forEach(([id]) => this.#questions.delete(id));
        return question.answer;
    }

    async #ask(engine: RegisteredServer): Promise<ReadonlySet<string> | undefined> {
        const { engineClient, engineProtocol } = this.options;
        const { status, body } = await engineClient.call(engine, engineProtocol.listKeptParts(), TIMEOUT_MILLISECONDS);
        return status === 200 ? engineProtocol.parseKeptParts(body) : undefined;
    }
}
