import type { Socket } from "node:net";

const CHUNKS = 20_000;
const LAST_CHUNK = "0\r\n\r\n";
/** Every so many connections, one finishes its body. */
const FINISHED_EVERY = 10;

/**
 * Sends a request whose body has 20,000 chunks, as one of many connections; one of ten finishes its body.
 *
 * @param socket The connection.
 * @param head Head of the request, which announces chunks.
 * @param chunk A chunk.
 * @param index Number of the connection.
 * @returns Once the system has taken the bytes, or the connection is closed.
 * @example
 * ```ts
 * await sendSmallChunks(socket, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 0);
 * ```
 */
export async function sendSmallChunks(socket: Socket, head: string, chunk: string, index: number): Promise<void> {
    const end = index % FINISHED_EVERY === 0 ? LAST_CHUNK : "";
    await new Promise<void>(resolve => socket.write(head + chunk.repeat(CHUNKS) + end, () => resolve()));
}
