import type { Socket } from "node:net";
import { awaitsRequest } from "./_awaits_request.ts";
import type { CallerConnection } from "./caller_connection.ts";

/** Whether a connection has served requests and neither a request nor an answer is under way. */
export function isIdle(socket: Socket, connection: CallerConnection): boolean {
    // The first request of a new connection may be on its way.
    return connection.requests > 0 && awaitsRequest(socket, connection);
}
