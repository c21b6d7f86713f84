import type { Socket } from "node:net";
import type { MemoryBudget } from "../memory/mod.ts";
import { UNREAD_ANSWER_MILLISECONDS } from "./_unread_answer_milliseconds.ts";
import type { CallerConnection } from "./caller_connection.ts";

/** Memory in bytes that other answers need. */
const OTHER_ANSWERS_BYTES = 1_048_576;

/** Closes a connection whose caller takes nothing of its answer, if there is no memory for other answers. */
export function closeIfUnread(socket: Socket, connection: CallerConnection, memory: MemoryBudget): void {
    if (memory.hasRoom(OTHER_ANSWERS_BYTES, "answer")) {
        socket.setTimeout(UNREAD_ANSWER_MILLISECONDS);
        return;
    }
    connection.end ??= { by: "caller", reason: "answer-not-read" };
    socket.destroy();
}
