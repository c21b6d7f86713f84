import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { PipeliningLimit } from "../pipelining/mod.ts";

/**
 * Responses that announce the close of their connection. A caller may send a further request before such a response has
 * begun (pipelining); then the response to that one announces the close in its place.
 */
export class LastResponses {
    readonly #responses = new WeakMap<Socket, ServerResponse>();
    readonly #ended = new WeakSet<Socket>();

    /**
     * @param pipeliningLimit Discards the input that follows.
     */
    constructor(private readonly pipeliningLimit: PipeliningLimit) {}

    /** Whether no response can follow on a connection, so that a later request must not run. */
    isLast(socket: Socket): boolean {
        return this.#ended.has(socket) || (this.#responses.get(socket)?.headersSent ?? false);
    }

    /** Has the response to a request announce the close of its connection. Where it is final, later requests are discarded. */
    announce(request: IncomingMessage, response: ServerResponse, isFinal: boolean): void {
        const { socket } = request;
        const earlier = this.#responses.get(socket);
        if (earlier) {
            earlier.shouldKeepAlive = true;
        }
        response.shouldKeepAlive = false;
        this.#responses.set(socket, response);
        if (isFinal) {
            this.#endInput(socket);
        }
        else {
            response.once("prefinish", () => {
                if (this.#responses.get(socket) === response) {
                    this.#endInput(socket);
                }
            });
        }
    }

    /** Input that stays unread would reset the connection when it is closed. */
    #endInput(socket: Socket): void {
        this.#ended.add(socket);
        this.pipeliningLimit.endInput(socket);
    }
}
