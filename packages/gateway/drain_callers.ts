import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ShutdownLog } from "../shutdown/mod.ts";
import type { GatewayServer } from "./gateway_server.ts";

/** Time in milliseconds before the process is killed at which the remaining requests are aborted. */
const ABORT_MARGIN_MILLISECONDS = 700;
/** Time in milliseconds after the shutdown signal during which the load balancer may still open connections. */
const DRAIN_MILLISECONDS = 2_900;
const DRAIN_STEP_MILLISECONDS = 25;
/**
 * Time in milliseconds before the abort at which the port begins to be closed. With the least time in which its queue is
 * emptied, it is closed 200 milliseconds after the abort at the latest, which leaves time for the last answers and calls.
 */
const PORT_CLOSE_MILLISECONDS = 400;
/**
 * Time in milliseconds allowed at the end of a shutdown for the refusals of requests that are aborted, and for callers to
 * close idle connections after the router.
 */
const LAST_ANSWERS_MILLISECONDS = 200;

/**
 * Lets the active requests of a server end while the load balancer notices that the instance is not ready, closes the
 * port, and aborts the requests that are left. Idle connections of callers stay open until the end, since requests may be
 * on their way; their next answer announces the close.
 *
 * @param server The server for callers.
 * @param startedAt Monotonic time in milliseconds of the shutdown signal.
 * @param killedAt Monotonic time in milliseconds at which the grace period ends.
 * @param steps Logs the steps.
 * @param logger Logs how many requests are cut.
 * @returns A promise that resolves once no request is active and no idle connection is being closed, or shortly after the
 *     abort.
 * @example
 * ```ts
 * await drainCallers(server, startedAt, startedAt + 8_000, steps, logger);
 * ```
 */
export async function drainCallers(
    server: GatewayServer,
    startedAt: number,
    killedAt: number,
    steps: ShutdownLog,
    logger: Logger,
): Promise<void> {
    const abortAt = killedAt - ABORT_MARGIN_MILLISECONDS;
    steps.begin("drain", abortAt - PORT_CLOSE_MILLISECONDS);
    await waitForActive(server, startedAt, abortAt);
    // Requests that still arrive would be cut soon.
    server.refuseDeadlinesAfter(startedAt);
    steps.begin("close of the port", abortAt);
    await server.portCloser.close(abortAt);
    steps.begin("last requests", abortAt);
    await waitUntil(() => server.active === 0 && server.connections.awaitingRequest === 0, abortAt);
    logger.info("shut down", { requestsCut: server.active });
    server.abortActive();
    steps.begin("last answers", monotonicMilliseconds() + LAST_ANSWERS_MILLISECONDS);
    await closeConnections(server);
}

/** Waits until no request is active at the end of the drain period or later, or the port must be closed. */
async function waitForActive(server: GatewayServer, startedAt: number, abortAt: number): Promise<void> {
    const drainedAt = startedAt + DRAIN_MILLISECONDS;
    const closeAt = abortAt - PORT_CLOSE_MILLISECONDS;
    await waitUntil(() => monotonicMilliseconds() > drainedAt, closeAt);
    // Requests that may last longer would be cut.
    server.refuseDeadlinesAfter(abortAt);
    await waitUntil(() => server.active === 0, closeAt);
}

/** Closes the connections of callers that are idle, or become so, until the requests that arrive meanwhile are answered. */
async function closeConnections(server: GatewayServer): Promise<void> {
    const endBy = monotonicMilliseconds() + LAST_ANSWERS_MILLISECONDS;
    await server.connections.closeIdle();
    while ((server.active > 0 || server.connections.closing > 0) && monotonicMilliseconds() < endBy) {
        await sleep(DRAIN_STEP_MILLISECONDS);
        await server.connections.closeIdle();
    }
}

async function waitUntil(condition: () => boolean, latest: number): Promise<void> {
    while (!condition() && monotonicMilliseconds() < latest) {
        await sleep(DRAIN_STEP_MILLISECONDS);
    }
}
