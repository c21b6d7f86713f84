import { readResponseBody } from "../backends/mod.ts";
import { sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { CrashRegistry } from "./crash_registry.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";

const TIMEOUT_MILLISECONDS = 500;
const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;
/** Time in milliseconds after a probe in which no other one is sent to the same server. */
const PAUSE_MILLISECONDS = 500;

/** Dependencies of {@linkcode ServerEndProbe}. */
interface ServerEndProbeOptions {
    serverClient: ServerClient;
    crashRegistry: CrashRegistry;
    serverLoads: ServerLoadTracker;
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
    readonly #recent = new Set<string>();

    /**
     * @param options Dependencies of the probe.
     */
    constructor(private readonly options: ServerEndProbeOptions) {}

    /**
     * Probes an engine in the background, unless it was probed just before.
     *
     * @param server The engine.
     */
    start(server: RegisteredServer): void {
        if (!this.#recent.has(server.id)) {
            this.#recent.add(server.id);
            void this.#probe(server);
        }
    }

    async #probe(server: RegisteredServer): Promise<void> {
        const { serverClient, crashRegistry, serverLoads, headers, engineProtocol, logger } = this.options;
        const { method, path } = engineProtocol.report();
        const response = await serverClient.send(server, {
            method,
            path,
            headers: ["Host", server.address, headers.expectedServer, server.id],
            timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        });
        const portClosed = response.isErr() && response.error.portClosed;
        const replaced = response.isOk() && response.value.status === 421;
        if (response.isOk()) {
            await readResponseBody(response.value, TIMEOUT_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
        }
        logger.info("server probed after a broken connection", {
            server: server.id,
            outcome: portClosed || replaced ? "ended" : response.isOk() ? "running" : response.error.kind,
        });
        if (portClosed || replaced) {
            serverLoads.markTerminated(server.id);
            crashRegistry.recordServerEnd(server.id);
        }
        await sleep(PAUSE_MILLISECONDS);
        this.#recent.delete(server.id);
    }
}
