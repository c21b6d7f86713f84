import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { logFailure, type Logger } from "../logs/mod.ts";
import type { ReachabilityMonitor } from "../reachability/mod.ts";
import { askServer } from "./_ask_server.ts";
import { nameServerStart } from "./_name_server_start.ts";
import type { CrashRegistry } from "./crash_registry.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";

const TIMEOUT_MILLISECONDS = 500;
/** Number of further questions without an answer, more than the connections that are usually kept to one engine. */
const MAXIMUM_REPETITIONS = 12;
const REPETITION_MILLISECONDS = 20;
/** Longest time in milliseconds for which questions are repeated, since the processor may come late to a process that ends. */
const REPETITION_LIMIT_MILLISECONDS = 2_000;
/** Outcomes that leave open whether the engine has ended. */
const OPEN_OUTCOMES: ReadonlySet<string> = new Set(["reset", "unreachable", "timeout"]);
/** Time in milliseconds after a probe in which no other one is sent to the same server. */
const PAUSE_MILLISECONDS = 500;

/** Dependencies of {@linkcode ServerEndProbe}. */
interface ServerEndProbeOptions {
    serverClient: ServerClient;
    crashRegistry: CrashRegistry;
    serverLoads: ServerLoadTracker;
    reachability: Pick<ReachabilityMonitor, "confirmLinks">;
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    logger: Logger;
}

/**
 * Finds out whether an engine whose connection broke has ended, instead of waiting for its registration to expire.
 *
 * @example
 * ```ts
 * const probe = new ServerEndProbe(options);
 * probe.start(server);
 * ```
 */
export class ServerEndProbe {
    /**
     * Starts of engines that are probed or were just before, with whether another connection to them has broken since. An
     * engine may start again under its id at another address.
     */
    readonly #recent = new Map<string, boolean>();

    /**
     * @param options Dependencies of the probe.
     */
    constructor(private readonly options: ServerEndProbeOptions) {}

    /**
     * Probes an engine in the background; if it was probed just before, a little later.
     *
     * @param server The engine.
     */
    start(server: RegisteredServer): void {
        const start = nameServerStart(server);
        if (this.#recent.has(start)) {
            this.#recent.set(start, true);
        }
        else {
            const { logger } = this.options;
            this.#probe(server).catch(logFailure(logger, "probe failed", { server: server.id }));
        }
    }

    async #probe(server: RegisteredServer): Promise<void> {
        const start = nameServerStart(server);
        this.#recent.set(start, false);
        try {
            await this.#recordEnd(server);
            await sleep(PAUSE_MILLISECONDS);
        }
        finally {
            const hasBrokenAgain = this.#recent.get(start) === true;
            this.#recent.delete(start);
            if (hasBrokenAgain) {
                this.start(server);
            }
        }
    }

    async #recordEnd(server: RegisteredServer): Promise<void> {
        const { crashRegistry, serverLoads, reachability, engineProtocol, logger } = this.options;
        const ask = () => askServer(server, engineProtocol.report(), this.options, TIMEOUT_MILLISECONDS);
        const until = monotonicMilliseconds() + REPETITION_LIMIT_MILLISECONDS;
        let outcome = await ask();
        // A kept connection of an engine that has ended is reset; a new one is refused. While its process ends, the kernel
        // still takes connections that nobody answers, and resets them, some before they count as established.
        for (
            let repetition = 0;
            OPEN_OUTCOMES.has(outcome) && repetition < MAXIMUM_REPETITIONS && monotonicMilliseconds() < until;
            repetition++
        ) {
            await sleep(REPETITION_MILLISECONDS);
            outcome = await ask();
        }
        logger.info("server probed after a broken connection", { server: server.id, outcome });
        // An instance that is isolated may be refused as by a closed port.
        if (outcome === "ended" && await reachability.confirmLinks(server.id)) {
            serverLoads.markTerminated(server.id, server.startedAt);
            crashRegistry.recordServerEnd(server.id, server.startedAt);
        }
    }
}
