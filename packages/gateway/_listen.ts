import { once } from "node:events";
import type { Server } from "node:http";
import { parseAddress } from "../instances/mod.ts";

/** Opens the port of a server; rejects if the port is in use. */
export async function listen(server: Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    server.listen(port, host);
    await once(server, "listening");
}
