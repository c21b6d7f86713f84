import type { Socket } from "node:net";

const SMALL_CHUNKS = 20_000;
const LARGE_CHUNK_BYTES = 65_536;
/** Bytes of a body that are sent one by one. */
const SINGLE_BYTES = 2_000;
const SMALL = "1\r\na\r\n".repeat(SMALL_CHUNKS);
const LARGE = `${LARGE_CHUNK_BYTES.toString(16)}\r\n${"a".repeat(LARGE_CHUNK_BYTES)}\r\n`;

/** Sends the head of a request with a body of that size, and the body but for its end. */
type SendBody = (socket: Socket, head: (framing: string) => string, bytes: number) => Promise<void> | void;

/**
 * Ways in which clients send bodies that they do not finish, by name.
 *
 * @example
 * ```ts
 * await unfinishedBodies["in large chunks"]?.(socket, framing => `POST / HTTP/1.1\r\n${framing}\r\n\r\n`, 1_048_576);
 * ```
 */
export const unfinishedBodies: Record<string, SendBody> = {
    "whole but for a byte": (socket, head, bytes) => {
        socket.write(head(`Content-Length: ${bytes}`));
        socket.write(Buffer.alloc(bytes - 1, "a"));
    },
    "piece by piece": async (socket, head, bytes) => {
        socket.setNoDelay(true);
        socket.write(head(`Content-Length: ${bytes}`));
        for (let sent = 0; sent < SINGLE_BYTES && socket.writable; sent++) {
            await new Promise<void>(resolve => socket.write("a", () => resolve()));
        }
        socket.write(Buffer.alloc(bytes - SINGLE_BYTES - 1, "a"));
    },
    "in large chunks": (socket, head, bytes) => {
        socket.write(head("Transfer-Encoding: chunked"));
        socket.write(LARGE.repeat(Math.floor(bytes / LARGE_CHUNK_BYTES) - 1));
    },
    "in chunks of one byte": (socket, head) => {
        socket.write(head("Transfer-Encoding: chunked"));
        socket.write(SMALL);
    },
};
