import type { Socket } from "node:net";

/** Bytes that are read, and time in milliseconds that passes, before the connection is closed. */
const MAXIMUM_DISCARDED_BYTES = 1_024 * 1_024;
const CLOSE_DELAY_MILLISECONDS = 2_000;

/**
 * Closes a connection once its caller has closed it, or after a while. Bytes that arrive after the close would reset the
 * connection, and the caller could lose what was sent last.
 *
 * @param socket The connection, whose last bytes have been written.
 * @param onData Gets what still arrives. Default: it is discarded.
 * @example
 * ```ts
 * socket.write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
 * closeAfterReading(socket);
 * ```
 */
export function closeAfterReading(socket: Socket, onData: (chunk: Buffer) => void = () => {}): void {
    socket.removeAllListeners("data");
    // A replaced method would wait again.
    Reflect.deleteProperty(socket, "destroySoon");
    if (socket.readableEnded) {
        socket.destroySoon();
        return;
    }
    let discardedBytes = 0;
    const close = () => {
        clearTimeout(timer);
        socket.removeAllListeners("data");
        socket.destroySoon();
    };
    const timer = setTimeout(close, CLOSE_DELAY_MILLISECONDS);
    socket.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        onData(chunk);
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            close();
        }
    });
    socket.on("end", close);
    socket.on("close", () => clearTimeout(timer));
    socket.resume();
}
