import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { pollConnections } from "../connections/mod.ts";
import { HalfClosedConnection } from "./_half_closed_connection.ts";
import type { InputEnds } from "./input_ends.ts";

/**
 * Lets callers of an HTTP server close their sending side after a whole request and still read its answer. The packet by
 * which they do so (FIN) is the same for a caller that has closed its whole connection and reads nothing more; such a
 * caller resets the connection once something is sent to it. So interim responses (`100 Continue`, RFC 9110, section
 * 15.2) are sent until the answer begins. The first is followed by the reset, the next one shows it, and the connection
 * ends with its requests as if the caller had reset it itself.
 *
 * @example
 * ```ts
 * const callers = new HalfClosedCallers(server, pipeliningLimit);
 * server.on("request", (_request, response) => callers.whenUncertain(response, () => abort.abort()));
 * ```
 */
export class HalfClosedCallers {
    readonly #connections = new Map<Socket, HalfClosedConnection>();

    /**
     * @param server The server, before it listens.
     * @param inputEnds Tells when the whole input of a connection has been parsed, which may be after its end.
     */
    constructor(server: Server, private readonly inputEnds: InputEnds) {
        // Without it, the server closes a connection whose caller has closed its side, although an answer is due.
        Object.assign(server, { httpAllowHalfOpen: true });
        server.on("request", (request: IncomingMessage, response: ServerResponse) => {
            this.#connectionOf(request.socket).add(response);
        });
    }

    /**
     * Whether the caller of a connection has closed its sending side after a whole request.
     *
     * @param socket The connection.
     * @returns Whether it has.
     */
    hasClosedSide(socket: Socket): boolean {
        return this.#connections.get(socket)?.isHalfClosed ?? false;
    }

    /**
     * Bytes that were sent on a connection, without interim responses.
     *
     * @param socket The connection.
     * @returns The number of bytes.
     */
    countAnswerBytes(socket: Socket): number {
        return Math.max(0, socket.bytesWritten - (this.#connections.get(socket)?.interimBytes ?? 0));
    }

    /**
     * Has a function called when a caller has closed its sending side and could not be shown to read in time, since it
     * takes no interim responses (HTTP/1.0) or its answer has begun and stands still. It is called again while that lasts.
     *
     * @param response Response to the caller's request.
     * @param listener The function, which may give the request up.
     */
    whenUncertain(response: ServerResponse, listener: () => void): void {
        this.#connectionOf(response.req.socket).addListener(response, listener);
    }

    /**
     * Finds out whether a caller has closed its connection, before its whole request is passed on. A process that is late
     * reads a request whose end of connection has arrived too, but learns of that end in the next turn of its event loop.
     *
     * @param request The request.
     * @returns Whether nobody reads the answer; false also if that can't be found out.
     */
    async hasLeft(request: IncomingMessage): Promise<boolean> {
        const { socket } = request;
        await pollConnections();
        await this.#connections.get(socket)?.whenProbed();
        return socket.destroyed;
    }

    #connectionOf(socket: Socket): HalfClosedConnection {
        let connection = this.#connections.get(socket);
        if (!connection) {
            connection = new HalfClosedConnection(socket, this.inputEnds);
            this.#connections.set(socket, connection);
            socket.on("close", () => this.#connections.delete(socket));
        }
        return connection;
    }
}
