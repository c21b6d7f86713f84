import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { endsBy } from "../shutdown/mod.ts";
import { shuttingDown } from "./_shutting_down.ts";
import type { ActiveRequests } from "./active_requests.ts";
import type { CallerServer } from "./caller_server.ts";

/** Time in milliseconds allowed after the drain limit to stop requests at their engines and refuse them. */
const LAST_ANSWERS_MILLISECONDS = 1_000;
/** Time in milliseconds allowed after that for the close of connections. */
const LAST_CLOSES_MILLISECONDS = 500;

/**
 * Closes the port of a server and lets its requests end. Those that are left at the drain limit are aborted and refused;
 * the connections of those that go on all the same are closed shortly after, and they are not waited for.
 *
 * @param server The server for callers.
 * @param active Its requests in progress.
 * @param latest Monotonic time in milliseconds of the drain limit.
 * @param logger Logs how many requests are aborted.
 * @returns A promise that resolves once no request is in progress and every connection is closed, 1.5 seconds after the drain limit
 *     and the close of the port at the latest.
 * @example
 * ```ts
 * await drainCallers(server, active, performance.now() + 600_000, logger);
 * ```
 */
export async function drainCallers(
    server: CallerServer,
    active: ActiveRequests,
    latest: number,
    logger: Logger,
): Promise<void> {
    // Requests that are held until the port is closed go on then, so the limit aborts them too.
    await server.closePort(latest);
    const remaining = Math.max(0, latest - monotonicMilliseconds());
    const abortTimer = setTimeout(() => {
        logger.warn("drain limit reached, aborting requests", { requests: active.size });
        active.abortAll(shuttingDown("may-have-run"));
    }, remaining);
    const closed = server.close();
    if (!await endsBy(closed, monotonicMilliseconds() + remaining + LAST_ANSWERS_MILLISECONDS)) {
        server.closeAllConnections();
        if (!await endsBy(closed, monotonicMilliseconds() + LAST_CLOSES_MILLISECONDS)) {
            logger.warn("requests go on after the drain limit", { requests: active.size });
        }
    }
    clearTimeout(abortTimer);
}
