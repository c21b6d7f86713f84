import type { Server } from "node:http";
import { setImmediate } from "node:timers/promises";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";

/** Time in milliseconds without a new connection after which the port is closed; more than a round trip to a caller. */
const QUIET_MILLISECONDS = 25;
/** Longest time in milliseconds for which connections are awaited; their requests are answered within 200 milliseconds. */
const LIMIT_MILLISECONDS = 150;
/** Polls in a row without a new connection after which the kernel's queue counts as empty. */
const QUIET_TURNS = 3;
/** Longest time in milliseconds of the turn that precedes the close, since connections that arrive in it are reset. */
const BRIEF_TURN_MILLISECONDS = 0.5;
/** Longest time in milliseconds for which a brief turn is awaited once the queue counts as empty. */
const BRIEF_TURN_LIMIT_MILLISECONDS = 150;
/** Time in milliseconds after which the port is closed although connections still arrive; a full queue takes half of it. */
const DRAIN_MILLISECONDS = 2_000;
/** Time in milliseconds in which the queue is emptied even beyond the latest time, since the process may have stood still. */
const LEAST_DRAIN_MILLISECONDS = 450;

/**
 * Closes the port of a server when no connection waits to be accepted. The kernel completes handshakes by itself, and
 * resets the connections that still wait when the port is closed, although their callers may have sent requests. The event
 * loop accepts one of them per turn, so callers that connect anew after each answer keep the queue filled. Therefore
 * requests are held while the port is being closed: callers without an answer open no further connection, and the queue
 * runs empty.
 *
 * @example
 * ```ts
 * const closer = new PortCloser(server, logger);
 * server.on("request", async (_request, response) => {
 *     if (closer.isClosing) {
 *         await closer.hold();
 *     }
 *     response.end();
 * });
 * await closer.close(performance.now() + 5_000);
 * ```
 */
export class PortCloser {
    #connections = 0;
    #requestsHeld = 0;
    #held: Promise<void> | undefined;

    /**
     * @param server The server for callers. Its connections stay open when its port is closed, idle ones too, since
     *     requests may be on their way.
     * @param logger Logs how the port was closed.
     */
    constructor(private readonly server: Server, private readonly logger: Logger) {
        const count = () => {
            this.#connections++;
        };
        server.on("connection", count);
        server.on("drop", count);
        // The close() of the server calls it.
        server.closeIdleConnections = () => {};
    }

    /** Whether requests are to be held, since the port is being closed. */
    get isClosing(): boolean {
        return this.#held !== undefined;
    }

    /**
     * Holds a request while the port is being closed.
     *
     * @returns A promise that resolves once the port is closed, or at once if it is not being closed.
     */
    async hold(): Promise<void> {
        if (this.#held) {
            this.#requestsHeld++;
            await this.#held;
        }
    }

    /**
     * Holds requests until no connection waits to be accepted, closes the port and lets the requests go on.
     *
     * @param latest Monotonic time in milliseconds at which the port is closed although connections wait, at the earliest
     *     450 milliseconds after the call.
     * @returns A promise that resolves after the held requests have gone on.
     */
    async close(latest: number): Promise<void> {
        const startedAt = monotonicMilliseconds();
        const connectionsBefore = this.#connections;
        let release = () => {};
        this.#held = new Promise(resolve => {
            release = resolve;
        });
        await this.#waitUntilQuiet(Math.min(startedAt + LIMIT_MILLISECONDS, latest));
        const drainedBy = Math.max(
            Math.min(startedAt + DRAIN_MILLISECONDS, latest),
            monotonicMilliseconds() + LEAST_DRAIN_MILLISECONDS,
        );
        const { turns, queueSeenEmpty } = await this.#pollUntilEmpty(drainedBy);
        // Nothing may be awaited between the last poll and this call: connections could arrive meanwhile.
        this.server.close();
        this.logger[queueSeenEmpty ? "info" : "warn"]("port of callers closed", {
            connections: this.#connections - connectionsBefore,
            requestsHeld: this.#requestsHeld,
            turns,
            // Otherwise connections that waited were reset.
            queueSeenEmpty,
            afterMilliseconds: Math.round(monotonicMilliseconds() - startedAt),
        });
        this.#held = undefined;
        release();
        await setImmediate();
    }

    async #waitUntilQuiet(latest: number): Promise<void> {
        let connections = -1;
        while (connections !== this.#connections) {
            connections = this.#connections;
            const remaining = latest - monotonicMilliseconds();
            if (remaining <= 0) {
                return;
            }
            await sleep(Math.min(QUIET_MILLISECONDS, remaining));
        }
    }

    /** Lets the event loop poll until polls no longer bring connections; each accepts at most one. */
    async #pollUntilEmpty(latest: number): Promise<{ turns: number; queueSeenEmpty: boolean; }> {
        let quietTurns = 0;
        let turns = 0;
        let quietSince = Number.POSITIVE_INFINITY;
        // The first immediate may follow a poll that has begun before.
        await setImmediate();
        let now = monotonicMilliseconds();
        let isBrief = false;
        const isDone = () => quietTurns >= QUIET_TURNS && (isBrief || now - quietSince > BRIEF_TURN_LIMIT_MILLISECONDS);
        for (; !isDone() && (turns < QUIET_TURNS || now < latest); turns++) {
            const connections = this.#connections;
            const turnStartedAt = now;
            await setImmediate();
            now = monotonicMilliseconds();
            isBrief = now - turnStartedAt <= BRIEF_TURN_MILLISECONDS;
            quietTurns = connections === this.#connections ? quietTurns + 1 : 0;
            if (quietTurns === QUIET_TURNS) {
                quietSince = Math.min(quietSince, now);
            }
        }
        return { turns, queueSeenEmpty: quietTurns > 0 };
    }
}
