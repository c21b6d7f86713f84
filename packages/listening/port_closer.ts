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
/** Part of the time until the latest close in which connections are awaited; the rest is left for the kernel's queue. */
const AWAITING_PART = 0.2;
/** Duration in milliseconds of a turn in which the process has stood still, so that its queue may have filled. */
const STANDSTILL_MILLISECONDS = 300;

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
 * await closer.close(() => performance.now() + 500);
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
     * @param latest Returns the monotonic time in milliseconds at which the port is closed although connections wait. Is
     *     asked again after the process has stood still, since its queue may have filled then.
     * @returns A promise that resolves after the held requests have gone on.
     */
    async close(latest: () => number): Promise<void> {
        const startedAt = monotonicMilliseconds();
        const connectionsBefore = this.#connections;
        let release = () => {};
        this.#held = new Promise(resolve => {
            release = resolve;
        });
        await this.#waitUntilQuiet(startedAt + Math.min(LIMIT_MILLISECONDS, (latest() - startedAt) * AWAITING_PART));
        const { turns, queueSeenEmpty } = await this.#pollUntilEmpty(latest);
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
    async #pollUntilEmpty(latest: () => number): Promise<{ turns: number; queueSeenEmpty: boolean; }> {
        let quietTurns = 0;
        let turns = 0;
        let isBrief = false;
        let quietSince = Number.POSITIVE_INFINITY;
        let turnedAt = monotonicMilliseconds();
        let drainedBy = Math.min(turnedAt + DRAIN_MILLISECONDS, latest());
        let drainedAgain = false;
        const isEmpty = () =>
            quietTurns >= QUIET_TURNS && (isBrief || turnedAt - quietSince > BRIEF_TURN_LIMIT_MILLISECONDS);
        // The first immediate may follow a poll that has begun before.
        await setImmediate();
        for (; !isEmpty() && (turns < QUIET_TURNS || turnedAt < drainedBy); turns++) {
            const connections = this.#connections;
            const turnedBefore = turnedAt;
            await setImmediate();
            turnedAt = monotonicMilliseconds();
            isBrief = turnedAt - turnedBefore <= BRIEF_TURN_MILLISECONDS;
            quietTurns = connections === this.#connections ? quietTurns + 1 : 0;
            if (quietTurns === QUIET_TURNS) {
                quietSince = Math.min(quietSince, turnedAt);
            }
            const stoodStill = turnedAt - turnedBefore > STANDSTILL_MILLISECONDS;
            if (stoodStill && turnedAt >= drainedBy && !drainedAgain) {
                drainedAgain = true;
                drainedBy = Math.min(turnedAt + DRAIN_MILLISECONDS, latest());
            }
        }
        return { turns, queueSeenEmpty: quietTurns > 0 };
    }
}
