import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** The beginning of an answer; its body is still to be read. */
export interface BackendAnswer {
    status: number;
    /** Names in lower case. */
    headers: Record<string, string>;
    /** Names and values by turns, as they were sent. */
    rawHeaders: string[];
    body: IncomingMessage;
    connection: Socket;
    /** Closes the connection. */
    close(): void;
}
