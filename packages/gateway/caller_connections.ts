import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { closeAfterReading, type IdleConnections, pollConnections } from "../connections/mod.ts";
import type { HalfClosedCallers } from "../half_close/mod.ts";
import type { PipeliningLimit } from "../pipelining/mod.ts";
import { awaitsRequest } from "./_awaits_request.ts";
import { closeIfUnread } from "./_close_if_unread.ts";
import { createCallerConnection } from "./_create_caller_connection.ts";
import { createCallerExchange } from "./_create_caller_exchange.ts";
import { createRejection } from "./_create_rejection.ts";
import { findRequestId } from "./_find_request_id.ts";
import { isIdle } from "./_is_idle.ts";
import { watchUnreadAnswer } from "./_watch_unread_answer.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { EndedBy } from "./ended_by.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { headerOf } from "./header_of.ts";

/** Time in milliseconds for which an idle connection stays open beyond the limit, since a request may be on its way. */
const IDLE_MARGIN_MILLISECONDS = 1_000;
/** Time in milliseconds after its opening in which a connection's first request is waited for. */
const FIRST_REQUEST_MILLISECONDS = 1_000;
/** Codes of errors after which nothing can be sent to the caller. */
const BROKEN_CONNECTION_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE", "ETIMEDOUT"]);

/**
 * Watches the connections of callers. Each request or connection that ends before its answer is complete leaves one log
 * line, which says who ended it, why, what had been read and what had been sent.
 *
 * @example
 * ```ts
 * const connections = new CallerConnections(context, server, halfClosedCallers, pipeliningLimit);
 * const exchange = connections.begin(incoming, response);
 * ```
 */
export class CallerConnections implements IdleConnections {
    readonly #connections = new Map<Socket, CallerConnection>();
    #shuttingDown = false;

    /**
     * @param context Shared objects of the gateway.
     * @param server The server for callers.
     * @param halfClosedCallers Callers that have closed their sending side.
     * @param pipeliningLimit Holds the bytes of its connections that have not been parsed.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly server: Server,
        private readonly halfClosedCallers: HalfClosedCallers,
        private readonly pipeliningLimit: PipeliningLimit,
    ) {
        server.on("connection", (socket: Socket) => this.#watch(socket));
        server.on("timeout", (socket: Socket) => void this.#closeIfIdle(socket));
        server.on("clientError", (error: Error, socket: Socket) => this.#reject(socket, error));
    }

    /**
     * Begins the record of a request.
     *
     * @param incoming The request.
     * @param response Its response.
     * @returns The record, to be kept up to date while the request is served. If it has an end already, the connection is
     *     about to be closed, and the request must not run.
     */
    begin(incoming: IncomingMessage, response: ServerResponse): CallerExchange {
        const exchange = createCallerExchange(headerOf(incoming, this.context.headers.requestId) ?? "");
        const { socket } = incoming;
        const connection = this.#connections.get(socket);
        if (!connection) {
            return exchange;
        }
        connection.requests++;
        connection.announcedIdleMilliseconds = this.server.keepAliveTimeout;
        connection.current = { exchange, incoming, response };
        const requestOfConnection = connection.requests;
        if (connection.responses.announcesClose) {
            exchange.end = { by: "router", reason: "connection-closing" };
        }
        connection.responses.add(response, exchange);
        let bytesSentBefore = this.halfClosedCallers.countAnswerBytes(socket);
        response.on("socket", () => {
            bytesSentBefore = this.halfClosedCallers.countAnswerBytes(socket);
        });
        incoming.on("end", () => {
            connection.wholeBytes = socket.bytesRead - this.pipeliningLimit.waitingBytes(socket);
            connection.bodyPending = false;
        });
        watchUnreadAnswer(socket, connection, response);
        response.on("close", () => {
            if (connection.current?.exchange === exchange) {
                connection.current = undefined;
                connection.idleSince = monotonicMilliseconds();
            }
            if (response.writableFinished || exchange.answered) {
                connection.bodyPending = !incoming.complete;
                return;
            }
            connection.reported = true;
            const hasHadTurn = Boolean(response.socket);
            this.#report("request ended without a complete answer", exchange.end ?? this.#endOf(connection), {
                request: exchange.id,
                requestOfConnection,
                bodyBytesRead: exchange.bodyBytes,
                bodyBytesDeclared: incoming.headers["content-length"] ?? incoming.headers["transfer-encoding"] ?? 0,
                requestWhole: incoming.complete,
                halfClosed: this.halfClosedCallers.hasClosedSide(socket),
                answer: connection.rejection ?? (hasHadTurn && response.headersSent ? "part" : "nothing"),
                events: exchange.events,
                bytesSent: hasHadTurn ? this.halfClosedCallers.countAnswerBytes(socket) - bytesSentBefore : 0,
                afterMilliseconds: Math.round(monotonicMilliseconds() - exchange.receivedAt),
            });
        });
        return exchange;
    }

    /** Number of idle connections that the router has closed and their callers have not. */
    get closing(): number {
        return [...this.#connections.values()].filter(({ closing }) => closing).length;
    }

    /** Number of new connections whose first request may be on its way. */
    get awaitingRequest(): number {
        const openedAfter = monotonicMilliseconds() - FIRST_REQUEST_MILLISECONDS;
        return [...this.#connections.values()]
            .filter(({ requests, idleSince, reported }) => requests === 0 && !reported && idleSince > openedAfter)
            .length;
    }

    /** Logs which connections are still open at the end; all are about to be closed. */
    beginShutdown(): void {
        this.#shuttingDown = true;
        const open = [...this.#connections];
        this.context.logger.info("connections of callers closed", {
            connections: open.length,
            withoutRequest: open.filter(([, { requests }]) => requests === 0).length,
            withRequest: open.filter(([, { current }]) => current).length,
            closedBefore: open.filter(([, { closing }]) => closing).length,
            bytesUnsent: open.reduce((sum, [socket]) => sum + socket.writableLength, 0),
        });
    }

    /**
     * Closes the connections that have no request under way and no answer that is still being sent.
     *
     * @returns A promise that resolves once they are being closed.
     */
    async closeIdle(): Promise<void> {
        await pollConnections();
        for (const [socket, connection] of this.#connections) {
            if (isIdle(socket, connection)) {
                this.#closeIdleConnection(socket, connection, "shutdown");
            }
        }
    }

    /** @inheritdoc */
    idleSince(socket: Socket): number | undefined {
        const connection = this.#connections.get(socket);
        return connection && awaitsRequest(socket, connection) ? connection.idleSince : undefined;
    }

    /** @inheritdoc */
    closeForOthers(socket: Socket): void {
        const connection = this.#connections.get(socket);
        if (connection) {
            this.#closeIdleConnection(socket, connection, "router");
        }
    }

    #watch(socket: Socket): void {
        const openedAt = monotonicMilliseconds();
        const connection = createCallerConnection(openedAt);
        this.#connections.set(socket, connection);
        socket.on("close", () => {
            this.#connections.delete(socket);
            connection.responses.endWaiting();
            const unreadBytes = socket.bytesRead - connection.wholeBytes;
            // A request under way tells of its own end, which follows that of its connection.
            const isReported = connection.reported || connection.current !== undefined;
            if (isReported || connection.bodyPending || (unreadBytes === 0 && !connection.rejection)) {
                return;
            }
            this.#report("connection ended without a whole request", this.#endOf(connection), {
                requestsOfConnection: connection.requests,
                bytesRead: unreadBytes,
                answer: connection.rejection ?? "nothing",
                afterMilliseconds: Math.round(monotonicMilliseconds() - openedAt),
            });
        });
    }

    /**
     * Closes a connection that has been idle for longer than both the limit that its last answer announced and the present
     * one. Callers go by either while a change of the limit spreads.
     */
    async #closeIfIdle(socket: Socket): Promise<void> {
        const connection = this.#connections.get(socket);
        if (connection?.answerUnread) {
            closeIfUnread(socket, connection, this.context.memory);
            return;
        }
        const idleMilliseconds = monotonicMilliseconds() - (connection?.idleSince ?? 0);
        const limit = Math.max(connection?.announcedIdleMilliseconds ?? 0, this.server.keepAliveTimeout)
            + IDLE_MARGIN_MILLISECONDS;
        if (connection && !this.#shuttingDown && idleMilliseconds < limit) {
            socket.setTimeout(Math.max(1, limit - idleMilliseconds));
            return;
        }
        if (connection && isIdle(socket, connection)) {
            await pollConnections();
            if (isIdle(socket, connection)) {
                this.#closeIdleConnection(socket, connection, "timer");
            }
        }
        else if (!this.pipeliningLimit.awaitArrival(socket)) {
            if (connection) {
                connection.end ??= { by: "timer", reason: "idle" };
            }
            socket.destroy();
        }
    }

    /** Closes the router's side and reads on, which shows whether a request was on its way. */
    #closeIdleConnection(socket: Socket, connection: CallerConnection, by: EndedBy): void {
        connection.closing = true;
        const closedAt = monotonicMilliseconds();
        socket.end();
        closeAfterReading(socket, chunk => {
            if (connection.reported) {
                return;
            }
            connection.reported = true;
            this.#report("request crossed the close of its connection", { by, reason: "idle" }, {
                request: findRequestId(chunk, this.context.headers.requestId),
                requestsOfConnection: connection.requests,
                bytesRead: chunk.length,
                afterMilliseconds: Math.round(monotonicMilliseconds() - closedAt),
            });
        });
    }

    /** Answers bytes that are no request, and requests that are not received in time, and closes their connection. */
    #reject(socket: Socket, error: Error): void {
        const connection = this.#connections.get(socket);
        if (!connection || connection.rejection !== undefined) {
            // The parser fails again for each further piece of a request that has been answered.
            return;
        }
        const code = "code" in error ? String(error.code) : error.name;
        const { current } = connection;
        if (current?.incoming.complete && !BROKEN_CONNECTION_CODES.has(code)) {
            // The bytes belong to a later request; the answer to this one is still due.
            if (connection.rejectedDuring !== current.exchange) {
                connection.rejectedDuring = current.exchange;
                current.response.once("close", () => this.#reject(socket, error));
            }
            return;
        }
        // The reset of a caller that had closed its connection before is how that close is learned.
        const reason = this.halfClosedCallers.hasClosedSide(socket) ? "closed" : code;
        const rejection = createRejection(code);
        connection.end ??= { by: rejection.by, reason: rejection.reason ?? reason };
        // A refusal that has been written must not be followed by another answer to the same request.
        const answerable = !current || (!current.incoming.complete && !current.response.headersSent);
        if (!socket.writable || BROKEN_CONNECTION_CODES.has(code) || !answerable) {
            socket.destroy();
            return;
        }
        connection.rejection = rejection.statusLine;
        if (rejection.reason !== undefined) {
            this.context.metrics.increment("gateway_refusals_total", { reason: rejection.reason, status: "503" });
        }
        socket.write(rejection.response);
        closeAfterReading(socket);
    }

    #endOf(connection: CallerConnection): { by: EndedBy; reason: string; } {
        return connection.end ?? { by: this.#shuttingDown ? "shutdown" : "caller", reason: "closed" };
    }

    #report(message: string, end: { by: EndedBy; reason: string; }, fields: Record<string, unknown>): void {
        this.context.metrics.increment("gateway_incomplete_answers_total", { by: end.by, reason: end.reason });
        this.context.logger.info(message, {
            endedBy: end.by,
            reason: end.reason,
            ...fields,
            ...this.context.directoryUpdater.logFields(),
        });
    }
}
