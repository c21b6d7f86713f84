import type { Server } from "node:net";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import { openPort } from "./_open_port.ts";

/** Time in milliseconds in which a port may still be held by a former process or by an outgoing connection. */
const PORT_WAIT_MILLISECONDS = 10_000;
const RETRY_MILLISECONDS = 50;

/**
 * Opens the port of a server. A port that is in use is tried again for some seconds.
 *
 * @param server The server.
 * @param address IP address or host name, and port.
 * @returns A promise that resolves once the port is open.
 * @throws {Error} If the port stays in use or cannot be opened for another reason.
 * @example
 * ```ts
 * await listen(createServer(), "127.0.0.1:8080");
 * ```
 */
export async function listen(server: Server, address: string): Promise<void> {
    const giveUpAt = monotonicMilliseconds() + PORT_WAIT_MILLISECONDS;
    for (;;) {
        try {
            await openPort(server, address);
            return;
        }
        catch (error) {
            if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE" || monotonicMilliseconds() >= giveUpAt) {
                throw error;
            }
            await sleep(RETRY_MILLISECONDS);
        }
    }
}
