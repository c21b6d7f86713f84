import type { IncomingMessage } from "node:http";

/** The beginning of an answer; its body is still to be read. */
export interface BackendResponse {
    status: number;
    /** Names in lower case. */
    headers: Record<string, string>;
    /** Names and values by turns, as they were sent. */
    rawHeaders: string[];
    body: IncomingMessage;
    /** Tells whether a body without a length was cut by a reset of its connection. */
    wasReset: () => boolean;
    /** Closes the connection. */
    close(): void;
}
