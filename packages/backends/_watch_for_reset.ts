import type { ClientRequest, IncomingMessage } from "node:http";
import { takeEndListeners } from "../connections/mod.ts";
import { RESET_WAIT_MILLISECONDS } from "./_reset_wait_milliseconds.ts";

/**
 * Watches for a reset of a connection whose end is the end of a response. A server that breaks off may end its side before it
 * resets the connection, so the response ends only once no reset has followed. Until then this side stays open: the kernel
 * forgets a connection that both sides have closed, and a reset of it as well.
 *
 * @returns A function that tells, after the end of the response, whether its connection did not end in order: it was reset, or
 *     this side closed it before.
 */
export function watchForReset(response: IncomingMessage, outgoing: ClientRequest): () => boolean {
    const { socket } = response;
    // Node takes any close of the connection for the end of the response, also one by this process.
    let endedInOrder = false;
    const listeners = takeEndListeners(socket);
    const endResponse = () => listeners.forEach(listener => listener.call(socket));
    socket.allowHalfOpen = true;
    socket.once("end", () => {
        // A server that ends its side before it has taken the whole request may have broken off as well.
        if (!outgoing.writableFinished) {
            endResponse();
            return;
        }
        const timer = setTimeout(() => {
            // Node tells of no reset that arrives with the last bytes or after them, but the socket has no remote address then.
            // It keeps an address once asked for, so nothing may ask before.
            endedInOrder = socket.remoteAddress !== undefined;
            endResponse();
        }, RESET_WAIT_MILLISECONDS);
        socket.once("close", () => clearTimeout(timer));
    });
    return () => !endedInOrder || Boolean(socket.errored);
}
