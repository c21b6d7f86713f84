import type { Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { BackendConnection } from "./backend_connection.ts";

const connections = new WeakMap<Socket, BackendConnection>();

/** Returns what identifies the connection of a socket over which a response has come. */
export function connectionOf(socket: Socket): BackendConnection {
    let connection = connections.get(socket);
    if (!connection) {
        connection = { usedSince: monotonicMilliseconds() };
        connections.set(socket, connection);
    }
    return connection;
}
