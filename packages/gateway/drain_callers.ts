import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ShutdownLog, ShutdownSchedule } from "../shutdown/mod.ts";
import type { GatewayServer } from "./gateway_server.ts";

const DRAIN_STEP_MILLISECONDS = 25;

/**
 * Lets the active requests of a server end while the load balancer notices that the instance is not ready, closes the
 * port, refuses the requests that have no answer yet, and aborts the rest. Idle connections of callers stay open until the end, since requests may be
 * on their way; their next answer announces the close.
 *
 * @param server The server for callers.
 * @param schedule Times of the steps.
 * @param steps Logs the steps.
 * @param logger Logs how many requests are cut.
 * @returns A promise that resolves once no request is active and no idle connection is being closed, or shortly after the
 *     abort.
 * @example
 * ```ts
 * await drainCallers(server, schedule, steps, logger);
 * ```
 */
export async function drainCallers(
    server: GatewayServer,
    schedule: ShutdownSchedule,
    steps: ShutdownLog,
    logger: Logger,
): Promise<void> {
    const refuseAt = () => schedule.startOf("refusals");
    const abortAt = () => schedule.startOf("last answers");
    steps.begin("drain", schedule.startOf("close of the port"));
    await waitForActive(server, schedule, refuseAt);
    // Requests that still arrive would be cut soon.
    server.refuseDeadlinesAfter(() => Number.NEGATIVE_INFINITY);
    const portClosedAt = () => Math.max(refuseAt(), schedule.endOf("close of the port"));
    steps.begin("close of the port", portClosedAt());
    await server.portCloser.close(portClosedAt);
    steps.begin("last requests", refuseAt());
    const hasEnded = () => server.active === 0 && server.connections.awaitingRequest === 0;
    await waitUntil(hasEnded, refuseAt);
    steps.begin("refusals", abortAt());
    server.abortUnanswered();
    // A late process needs turns for the refusals. Answers that have begun may still be completed meanwhile.
    await waitUntil(hasEnded, abortAt);
    logger.info("shut down", { requestsCut: server.active });
    const endBy = schedule.endOf("last answers");
    steps.begin("last answers", endBy);
    server.abortActive();
    await closeConnections(server, endBy);
}

/** Waits until no request is active at the end of the drain period or later, or the port must be closed. */
async function waitForActive(server: GatewayServer, schedule: ShutdownSchedule, refuseAt: () => number): Promise<void> {
    const closeAt = () => schedule.startOf("close of the port");
    await waitUntil(() => monotonicMilliseconds() > schedule.drainedAt, closeAt);
    // Requests that may last longer would be cut.
    server.refuseDeadlinesAfter(refuseAt);
    await waitUntil(() => server.active === 0, closeAt);
}

/** Closes the connections of callers that are idle, or become so, until the requests that arrive meanwhile are answered. */
async function closeConnections(server: GatewayServer, endBy: number): Promise<void> {
    await server.connections.closeIdle();
    while ((server.active > 0 || server.connections.closing > 0) && monotonicMilliseconds() < endBy) {
        await sleep(DRAIN_STEP_MILLISECONDS);
        await server.connections.closeIdle();
    }
}

async function waitUntil(condition: () => boolean, latest: () => number): Promise<void> {
    while (!condition() && monotonicMilliseconds() < latest()) {
        await sleep(DRAIN_STEP_MILLISECONDS);
    }
}
