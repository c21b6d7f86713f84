import type { Socket } from "node:net";
import type { CallerConnection } from "./caller_connection.ts";

/** Whether neither a request nor an answer of a connection is under way. */
export function awaitsRequest(socket: Socket, connection: CallerConnection): boolean {
    return !connection.current && !connection.bodyPending && !connection.closing
        && socket.bytesRead === connection.wholeBytes && socket.writableLength === 0;
}
