import type { ServerResponse } from "node:http";

/** Longest wait for a caller to read what was written; the connection is closed after it. */
const READ_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Waits until a caller has read what was written, for `drain`, or the whole response, for `close`. Closes the connection
 * of a caller who does not read.
 */
export async function waitForCaller(response: ServerResponse, event: "drain" | "close"): Promise<void> {
    while (!response.destroyed && !response.req.socket.destroyed) {
        const timedOut = await new Promise<boolean>(resolve => {
            const end = (result: boolean) => {
                clearTimeout(timer);
                response.off(event, onEvent);
                response.off("close", onEvent);
                resolve(result);
            };
            const onEvent = () => end(false);
            const timer = setTimeout(() => end(true), READ_TIMEOUT_MILLISECONDS);
            response.once(event, onEvent);
            response.once("close", onEvent);
        });
        if (!timedOut) {
            return;
        }
        // A response without a socket waits for an earlier one of its connection.
        if (response.socket) {
            response.destroy();
        }
    }
}
