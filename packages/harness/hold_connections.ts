import { connect, type Socket } from "node:net";

/**
 * Opens connections and sends the same bytes on each, such as a request without an end.
 *
 * @param address IP address and port.
 * @param count Number of connections.
 * @param bytes What is sent on each of them.
 * @returns The connections, once each has been accepted by the kernel or has failed. Nothing is read from them.
 * @example
 * ```ts
 * const sockets = await holdConnections("127.0.0.1:8080", 300, "GET / HTTP/1.1\r\n");
 * sockets.forEach(socket => socket.destroy());
 * ```
 */
export async function holdConnections(address: string, count: number, bytes: string): Promise<Socket[]> {
    const [host, port] = address.split(":");
    return await Promise.all(Array.from({ length: count }, () =>
        new Promise<Socket>(resolve => {
            const socket = connect({ host, port: Number(port) }, () => {
                socket.write(bytes);
                resolve(socket);
            });
            socket.on("error", () => resolve(socket));
        })));
}
