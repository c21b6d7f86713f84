import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Calls a function once a response has been read or its connection is closed. Node.js does not report the latter for
 * responses that wait for earlier ones of their connection.
 */
export function onClosed(request: IncomingMessage, response: ServerResponse, listener: () => void): void {
    const { socket } = request;
    const close = () => {
        response.off("close", close);
        socket.off("close", close);
        listener();
    };
    response.on("close", close);
    // Each of the requests under way listens.
    socket.setMaxListeners(0);
    socket.on("close", close);
}
