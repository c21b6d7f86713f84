import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { closeAfterReading } from "./close_after_reading.ts";
import type { ConnectionBounds } from "./connection_bounds.ts";
import type { IdleConnections } from "./idle_connections.ts";
import { pollConnections } from "./poll_connections.ts";

/** Time in milliseconds in which a caller beyond the bound may send a request to be refused by its id. */
const REQUEST_WAIT_MILLISECONDS = 1_000;
/** Time in milliseconds for which a connection must be idle before it is closed for another, as a request may be on its way. */
const LEAST_IDLE_MILLISECONDS = 1_000;
/** Share of the bound below which the next rise to it is logged again. */
const NORMAL_SHARE = 0.9;
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** Options of {@linkcode ConnectionBound}. */
interface ConnectionBoundOptions {
    bounds: ConnectionBounds;
    metrics: Metrics;
    logger: Logger;
    /** Event of the server that brings its connections. Default: `connection`. */
    event?: "connection" | "secureConnection";
    /** Connections that may be closed so that others have room. */
    idle: IdleConnections;
    /** Answers a caller that has sent no whole request, and closes the connection. Default: 503 without a body. */
    answer?: (socket: Socket) => void;
}

/**
 * Bounds the connections of callers, so that the process keeps descriptors for everything else. Without one, the system's
 * connections are closed as they are accepted, with the requests that their callers have sent.
 *
 * A caller beyond the bound takes the place of the connection that has been idle for longest, which is closed. Where none
 * has been idle for a second, or too many are still being closed, the caller is refused: by the server's handler of requests, which asks `isBeyond`, or, where no request
 * arrives soon or further callers need the room, by an answer of this class. Beyond the room for refusals, the connection
 * that has waited longest is answered and closed.
 *
 * @example
 * ```ts
 * const bound = new ConnectionBound(server, { bounds: { callers: 1_755, refusals: 195 }, idle, metrics, logger });
 * server.on("request", (request, response) => bound.isBeyond(request.socket));
 * ```
 */
export class ConnectionBound {
    readonly #beyond = new Map<Socket, NodeJS.Timeout>();
    /** Connections that were beyond the bound, also while they are closed. */
    readonly #refused = new WeakSet<Socket>();
    readonly #answered = new WeakSet<Socket>();
    /** Connections within the bound, and idle ones that are being closed for others. */
    readonly #open = new Set<Socket>();
    /** Idle connections that are about to be closed for others. */
    readonly #chosen = new Set<Socket>();
    #isLogged = false;

    /**
     * @param server The server, before it listens.
     * @param options Bounds and dependencies.
     */
    constructor(server: Server, private readonly options: ConnectionBoundOptions) {
        const { bounds, metrics, logger } = options;
        logger.info("connections of callers are bounded", { ...bounds });
        server.maxConnections = bounds.callers + bounds.refusals;
        server.on(options.event ?? "connection", (socket: Socket) => this.#accept(socket));
        server.on("request", ({ socket }: IncomingMessage) => {
            if (this.#refused.has(socket)) {
                this.#answered.add(socket);
            }
        });
        server.on("drop", () => metrics.increment("connections_beyond_bound_total", { result: "dropped" }));
        metrics.gauge("caller_connections", () => this.#open.size);
        metrics.gauge("caller_connections_bound", () => bounds.callers);
    }

    /**
     * Whether a connection is beyond the bound, so that its requests must be refused and the connection closed.
     *
     * @param socket The connection.
     * @returns Whether it is.
     */
    isBeyond(socket: Socket): boolean {
        return this.#refused.has(socket);
    }

    #accept(socket: Socket): void {
        const { bounds, metrics, logger } = this.options;
        if (this.#open.size < bounds.callers || this.#makeRoom()) {
            this.#open.add(socket);
            socket.once("close", () => {
                this.#open.delete(socket);
                this.#isLogged &&= this.#open.size > bounds.callers * NORMAL_SHARE;
            });
            return;
        }
        metrics.increment("connections_beyond_bound_total", { result: "refused" });
        if (!this.#isLogged) {
            this.#isLogged = true;
            logger.warn("callers hold all their connections, further ones are refused", { ...bounds });
        }
        this.#refused.add(socket);
        this.#beyond.set(socket, setTimeout(() => this.#answer(socket), REQUEST_WAIT_MILLISECONDS));
        socket.once("close", () => this.#forget(socket));
        // The other half is for those that are being closed.
        if (this.#beyond.size > bounds.refusals / 2) {
            const [longest] = this.#beyond.keys();
            if (longest) {
                this.#answer(longest);
                this.#forget(longest);
                longest.destroySoon();
            }
        }
    }

    /** Begins to close an idle connection; returns whether there is one and the descriptors suffice meanwhile. */
    #makeRoom(): boolean {
        const { bounds } = this.options;
        const longest = this.#findLongestIdle();
        if (!longest || this.#open.size - bounds.callers + this.#beyond.size >= bounds.refusals / 2) {
            return false;
        }
        this.#chosen.add(longest);
        void this.#closeIdle(longest);
        return true;
    }

    #findLongestIdle(): Socket | undefined {
        let longest: Socket | undefined;
        let earliest = monotonicMilliseconds() - LEAST_IDLE_MILLISECONDS;
        for (const socket of this.#open) {
            const since = this.#chosen.has(socket) ? undefined : this.options.idle.idleSince(socket);
            if (since !== undefined && since <= earliest) {
                longest = socket;
                earliest = since;
            }
        }
        return longest;
    }

    /** Closes a connection that is idle, or, if a request has arrived on it meanwhile, another one. */
    async #closeIdle(chosen: Socket): Promise<void> {
        await pollConnections();
        this.#chosen.delete(chosen);
        const socket = this.options.idle.idleSince(chosen) === undefined ? this.#findLongestIdle() : chosen;
        if (socket) {
            this.options.metrics.increment("connections_closed_for_others_total");
            this.options.idle.closeForOthers(socket);
        }
    }

    #answer(socket: Socket): void {
        if (this.#answered.has(socket) || !socket.writable) {
            return;
        }
        this.#answered.add(socket);
        if (this.options.answer) {
            this.options.answer(socket);
        }
        else {
            socket.write(REFUSAL);
            closeAfterReading(socket);
        }
        socket.end();
    }

    #forget(socket: Socket): void {
        clearTimeout(this.#beyond.get(socket));
        this.#beyond.delete(socket);
    }
}
