import type { IncomingMessage } from "node:http";

/** A response whose headers have arrived and whose body has not been read yet. */
export interface BackendResponse {
    status: number;
    /** Values by name in lower case. */
    headers: Record<string, string>;
    /** Alternating names and values, as received. */
    rawHeaders: string[];
    body: IncomingMessage;
    /** Returns whether a body without a length was truncated by a connection reset. */
    wasReset: () => boolean;
    /** Closes the connection. */
    close(): void;
}
