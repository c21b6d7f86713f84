import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/**
 * Finds ports that are free at the moment.
 *
 * @param count Number of ports.
 * @returns The ports.
 * @example
 * ```ts
 * const [port] = await freePorts(1);
 * ```
 */
export async function freePorts(count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => {
        server.close();
        return once(server, "close");
    }));
    return ports;
}
