import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Server as TlsServer } from "node:tls";
import { closeAfterReading, type IdleConnections } from "../connections/mod.ts";
import { MemoryBudget, type MemoryReservation, readBuffers } from "../memory/mod.ts";
import { PipelinedConnection } from "./_pipelined_connection.ts";
import { refuseInput } from "./_refuse_input.ts";
import type { InputRefusal } from "./input_refusal.ts";
import type { PipeliningLimitOptions } from "./pipelining_limit_options.ts";

/** Time in milliseconds by which Node.js may be late when it ends a request that does not arrive in time. */
const REQUEST_CHECK_MILLISECONDS = 30_000;

/**
 * Bounds the unanswered requests of each connection. Node.js parses all that one read has brought, which may be hundreds
 * of requests, so the parser gets the bytes of one request at a time, and further ones wait until an answer has ended.
 * What waits, and heads that arrive in pieces, are within the memory. Input for which there is none, or whose head is too
 * long, is discarded; once the answers before it have ended, the server gets a `clientError` (`ERR_MEMORY_FULL` or
 * `HPE_HEADER_OVERFLOW`) and closes the connection, or, without a listener, the limit answers 503 or 431 and closes it.
 *
 * Attach it before the server listens and before it has listeners for requests that reserve memory. Servers that handle
 * `upgrade` or `connect` are not supported.
 *
 * @example
 * ```ts
 * const server = createServer(listener);
 * const limit = new PipeliningLimit(server, { maximumUnansweredRequests: 16, memory: new MemoryBudget(50_000_000) });
 * server.listen(8080);
 * limit.waitingBytes(socket); // 0
 * ```
 */
export class PipeliningLimit implements IdleConnections {
    readonly #connections = new Map<Socket, PipelinedConnection>();
    /** Connections that have been given time for the request that is arriving. */
    readonly #awaited = new WeakSet<Socket>();

    /** Largest head of a request in bytes, without its first line; a longer one is refused before its end. */
    maximumHeadBytes = Number.POSITIVE_INFINITY;

    /**
     * @param server Server for HTTP or HTTPS.
     * @param options Options.
     * @throws {RangeError} If the limit is not a positive integer.
     */
    constructor(private readonly server: Server, options: PipeliningLimitOptions) {
        if (!Number.isSafeInteger(options.maximumUnansweredRequests) || options.maximumUnansweredRequests < 1) {
            throw new RangeError(`Cannot limit the unanswered requests to ${options.maximumUnansweredRequests}`);
        }
        const connectionOptions = {
            memory: new MemoryBudget(Number.POSITIVE_INFINITY),
            readBuffers,
            maximumHeadBytes: () => this.maximumHeadBytes,
            refuse: (socket: Socket, refusal: InputRefusal) => refuseInput(server, socket, refusal),
            ...options,
        };
        server.on(server instanceof TlsServer ? "secureConnection" : "connection", (socket: Socket) => {
            const [parse] = socket.listeners("data") as ((this: Socket, chunk: Buffer) => void)[];
            if (parse) {
                this.#connections.set(socket, new PipelinedConnection(socket, parse, connectionOptions));
                socket.on("close", () => this.#connections.delete(socket));
            }
        });
        server.prependListener("request", (incoming: IncomingMessage, response: ServerResponse) => {
            this.#awaited.delete(incoming.socket);
            this.#connections.get(incoming.socket)?.begin(incoming, response);
        });
    }

    /**
     * Has a function called once the whole input of a connection has been parsed, which may be after the socket's `end`.
     *
     * @param socket The connection.
     * @param listener The function.
     */
    onInputEnd(socket: Socket, listener: () => void): void {
        this.#connections.get(socket)?.onInputEnd(listener);
    }

    /**
     * Hands over the memory that the head of a request has taken while it arrived, during the event `request` of that
     * request. What is not taken then is released.
     *
     * @param socket The connection of the request.
     * @returns The memory; undefined if the head arrived as a whole.
     */
    takeHeadMemory(socket: Socket): MemoryReservation | undefined {
        return this.#connections.get(socket)?.takeHeadMemory();
    }

    /**
     * Has the input of a connection discarded after the request whose head was parsed last, since its response announces
     * the close of the connection. Input that stays unread would reset the connection then.
     *
     * @param socket The connection.
     */
    endInput(socket: Socket): void {
        this.#connections.get(socket)?.endInput();
    }

    /**
     * Closes the connections that have served requests and have none under way or arriving. The server's own method cuts
     * answers that have been written and not sent, and resets connections whose input is being discarded.
     */
    closeIdle(): void {
        this.#connections.forEach(connection => connection.closeIfIdle());
    }

    /**
     * Gives a connection whose idle time has passed the time that a request may take, if one is arriving on it. From
     * 20.20.1 on, the idle time of Node.js goes on until the head of a request is whole.
     *
     * @param socket The connection.
     * @returns Whether a request is arriving; true once for each, since bytes that begin no request have no other limit.
     */
    awaitArrival(socket: Socket): boolean {
        if (this.#awaited.has(socket) || !this.#connections.get(socket)?.isArriving) {
            return false;
        }
        this.#awaited.add(socket);
        socket.setTimeout(this.server.requestTimeout + REQUEST_CHECK_MILLISECONDS);
        return true;
    }

    /** @inheritdoc */
    idleSince(socket: Socket): number | undefined {
        return this.#connections.get(socket)?.idleSince;
    }

    /** @inheritdoc */
    closeForOthers(socket: Socket): void {
        socket.end();
        // A request that crosses the close would reset the connection.
        closeAfterReading(socket);
    }

    /**
     * Counts the bytes of a connection that have been read and not parsed.
     *
     * @param socket The connection.
     * @returns Their number.
     */
    waitingBytes(socket: Socket): number {
        return this.#connections.get(socket)?.waitingBytes ?? 0;
    }

    /**
     * Tells whether bytes of a connection wait that follow the last request whose head was parsed.
     *
     * @param socket The connection.
     * @returns Whether there are any; false if the body of the request has no declared length.
     */
    hasFurtherRequest(socket: Socket): boolean {
        return this.#connections.get(socket)?.hasFurtherRequest ?? false;
    }
}
