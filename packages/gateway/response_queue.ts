import type { ServerResponse } from "node:http";
import type { CallerExchange } from "./caller_exchange.ts";

/**
 * Responses of one connection that have not ended, in the order of their requests. A caller may send requests before it
 * has the answers to earlier ones (pipelining); their responses wait for their turn.
 *
 * @example
 * ```ts
 * const responses = new ResponseQueue();
 * responses.add(response, exchange);
 * socket.on("close", () => responses.endWaiting());
 * ```
 */
export class ResponseQueue {
    readonly #exchanges = new Map<ServerResponse, CallerExchange>();

    /** Whether an answer that has begun says that the connection will be closed, so that no later one can be sent. */
    get announcesClose(): boolean {
        return [...this.#exchanges.keys()].some(response => response.headersSent && !response.shouldKeepAlive);
    }

    /**
     * Adds a response until it emits "close". The responses before it that have not begun no longer close the connection.
     *
     * @param response The response.
     * @param exchange Record of its request.
     */
    add(response: ServerResponse, exchange: CallerExchange): void {
        for (const earlier of this.#exchanges.keys()) {
            earlier.shouldKeepAlive ||= !earlier.headersSent;
        }
        this.#exchanges.set(response, exchange);
        response.on("close", () => this.#exchanges.delete(response));
    }

    /**
     * Ends the responses that wait for their turn, after the end of their connection. The HTTP server emits "close" only
     * for the response whose turn it is.
     */
    endWaiting(): void {
        const [first] = this.#exchanges.values();
        for (const [response, exchange] of [...this.#exchanges]) {
            if (!response.socket && !response.writableFinished) {
                exchange.end ??= first?.end;
                response.destroy();
                response.emit("close");
            }
        }
    }
}
