import { once } from "node:events";
import type { Server } from "node:net";
import { parseAddress } from "./parse_address.ts";

const BACKLOG = 1_024;

/** Opens the port of a server, or rejects if it cannot be opened now. */
export async function openPort(server: Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    server.listen({ host, port, backlog: BACKLOG });
    await once(server, "listening");
}
