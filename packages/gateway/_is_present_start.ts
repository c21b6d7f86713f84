import type { Directory, RegisteredServer } from "../directory/mod.ts";

/** Whether the start of a server that was found earlier is the one that is registered, at the same address. */
export function isPresentStart(server: RegisteredServer, directory: Pick<Directory, "servers">): boolean {
    const registered = directory.servers.get(server.id);
    return registered !== undefined && registered.startedAt === server.startedAt
        && registered.address === server.address;
}
