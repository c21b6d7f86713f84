import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Directory, RegisteredServer, ServiceProfile } from "../directory/mod.ts";
import { logFailure, type Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { askServer } from "./_ask_server.ts";
import { nameServerStart } from "./_name_server_start.ts";
import type { AnswerEndState } from "./answer_end_state.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";

/** Time in milliseconds within which a server must respond; sound servers may be silent for a second or so. */
const LIMIT_MILLISECONDS = 5_000;
const ASK_MILLISECONDS = 2_000;
/** Pause in milliseconds after the first question that left it open; it doubles each time. */
const FIRST_PAUSE_MILLISECONDS = 20;
const PAUSE_GROWTH = 2;
/** Time in milliseconds that a server is avoided after it was found to have ended; it may be back soon. */
const ENDED_AVOID_MILLISECONDS = 1_000;

/** Dependencies of {@linkcode AnswerEndCheck}. */
interface AnswerEndCheckOptions {
    /** Registered servers; one that has registered with another start has ended. */
    directory: Pick<Directory, "servers">;
    serverClient: ServerClient;
    serverLoads: ServerLoadTracker;
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    metrics: Metrics;
    logger: Logger;
}

/**
 * Finds out whether the end of a connection was the end of an answer. An answer with neither a length nor chunks ends with its
 * connection (RFC 9112, section 6.3), and the kernel ends the connections of a process that is killed in the same way. A
 * server that responds to a question sent after that end was alive at it.
 *
 * @example
 * ```ts
 * const check = new AnswerEndCheck(options);
 * await check.confirm(server, service, request.signal); // "running"
 * ```
 */
export class AnswerEndCheck {
    /** The last question to each server, until it is answered. */
    readonly #asked = new Map<string, Promise<AnswerEndState>>();
    /** Questions that wait for the end of that one, so that they are sent after each end that they are for. */
    readonly #waiting = new Map<string, Promise<AnswerEndState>>();

    /**
     * @param options Dependencies of the check.
     */
    constructor(private readonly options: AnswerEndCheckOptions) {}

    /**
     * Asks a server whether it still runs. Answers that have ended by the time a question is sent share it.
     *
     * @param server The server, whose answer has just ended with its connection.
     * @param service Its service.
     * @param signal Aborts when the request is given up.
     * @returns Whether the server runs; `"unknown"` if it does not respond in time or the request is given up.
     */
    async confirm(server: RegisteredServer, service: ServiceProfile, signal: AbortSignal): Promise<AnswerEndState> {
        if (signal.aborted) {
            return "unknown";
        }
        return await new Promise(resolve => {
            const giveUp = () => resolve("unknown");
            signal.addEventListener("abort", giveUp, { once: true });
            void this.#askAfterNow(server, service).then(state => {
                signal.removeEventListener("abort", giveUp);
                resolve(state);
            });
        });
    }

    #askAfterNow(server: RegisteredServer, service: ServiceProfile): Promise<AnswerEndState> {
        // Another start of the server may have another address, and says nothing of an answer of this one.
        const start = nameServerStart(server);
        const waiting = this.#waiting.get(start);
        if (waiting) {
            return waiting;
        }
        const before = this.#asked.get(start) ?? Promise.resolve();
        const next = before.then(async () => {
            this.#waiting.delete(start);
            this.#asked.set(start, next);
            return await this.#ask(server, service);
        }).catch((error: unknown): AnswerEndState => {
            logFailure(this.options.logger, "end of an answer not checked", { server: server.id })(error);
            return "unknown";
        }).finally(() => {
            if (this.#asked.get(start) === next) {
                this.#asked.delete(start);
            }
        });
        this.#waiting.set(start, next);
        return next;
    }

    async #ask(server: RegisteredServer, { engine, healthPath }: ServiceProfile): Promise<AnswerEndState> {
        const { engineProtocol, serverLoads, metrics, logger } = this.options;
        const call = engine ? engineProtocol.report() : { method: "GET", path: healthPath };
        const startedAt = monotonicMilliseconds();
        const elapsed = () => monotonicMilliseconds() - startedAt;
        const remaining = () => Math.max(1, Math.min(ASK_MILLISECONDS, LIMIT_MILLISECONDS - elapsed()));
        let outcome = await askServer(server, call, this.options, remaining());
        // A kept connection of a process that has ended is reset; a new one is refused.
        for (
            let pause = FIRST_PAUSE_MILLISECONDS;
            outcome !== "running" && outcome !== "ended" && elapsed() + pause < LIMIT_MILLISECONDS;
            pause *= PAUSE_GROWTH
        ) {
            await sleep(pause);
            outcome = await askServer(server, call, this.options, remaining());
        }
        const answered = outcome === "running" || outcome === "ended" ? outcome : "unknown";
        const hasStartedAgain = this.#hasStartedAgain(server);
        const state = hasStartedAgain ? "ended" : answered;
        metrics.increment("answer_ends_checked_total", { result: state });
        logger.info("server asked after the end of an answer without framing", {
            server: server.id,
            outcome,
            hasStartedAgain,
            milliseconds: Math.round(elapsed()),
        });
        if (state === "ended" && !hasStartedAgain) {
            serverLoads.avoid(server.id, ENDED_AVOID_MILLISECONDS);
        }
        return state;
    }

    #hasStartedAgain({ id, startedAt }: RegisteredServer): boolean {
        return (this.options.directory.servers.get(id)?.startedAt ?? startedAt) !== startedAt;
    }
}
