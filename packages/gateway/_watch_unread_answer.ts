import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { UNREAD_ANSWER_MILLISECONDS } from "./_unread_answer_milliseconds.ts";
import type { CallerConnection } from "./caller_connection.ts";

/** Sets a timeout on a connection from the end of an answer until all of it has been sent. */
export function watchUnreadAnswer(socket: Socket, connection: CallerConnection, response: ServerResponse): void {
    response.on("prefinish", () => {
        connection.answerUnread = true;
        socket.setTimeout(UNREAD_ANSWER_MILLISECONDS);
    });
    // Runs before Node.js begins the idle time.
    response.prependListener("finish", () => {
        connection.answerUnread = false;
        socket.setTimeout(0);
    });
}
