import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerExchange } from "./caller_exchange.ts";

/** Bytes of a refused request's body that are read before its connection is closed. */
const MAXIMUM_DISCARDED_BYTES = 16 * 1_024 * 1_024;

/**
 * Sends the body of a refusal, whose headers have been written, and ends the response once the body of the request has
 * been received. If the connection were closed while bytes of the request are still on their way, the kernel would reset
 * it, and the caller could lose the refusal (RFC 9112, section 9.6). The time limit for requests bounds the wait.
 *
 * @param response The response.
 * @param body Body of the refusal, of the length that the headers declare.
 * @param exchange Record of the request.
 * @example
 * ```ts
 * response.writeHead(404, { "Content-Length": "7" });
 * endRefusal(response, "unknown", exchange);
 * ```
 */
export function endRefusal(response: ServerResponse, body: string, exchange: CallerExchange): void {
    const incoming = response.req;
    if (incoming.complete || !hasBody(incoming)) {
        response.end(body);
        incoming.resume();
        return;
    }
    if (incoming.method === "HEAD") {
        response.flushHeaders();
    }
    response.write(body);
    exchange.answered = true;
    let discardedBytes = 0;
    incoming.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES && !response.writableEnded) {
            response.end();
            incoming.socket.destroySoon();
        }
    });
    incoming.on("end", () => response.end());
    incoming.resume();
}

function hasBody(incoming: IncomingMessage): boolean {
    const length = incoming.headers["content-length"];
    return incoming.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}
