import type { IncomingMessage } from "node:http";
import type { BackendConnection } from "./backend_connection.ts";
import type { BackendRequest } from "./backend_request.ts";
import type { BodyFraming } from "./body_framing.ts";

/** A response whose headers have arrived and whose body has not been read yet. */
export interface BackendResponse {
    status: number;
    /** Values by name in lower case. */
    headers: Record<string, string>;
    /** Alternating names and values, as received. */
    rawHeaders: string[];
    body: IncomingMessage;
    /** The connection that it came over. */
    connection: BackendConnection;
    /** What ends the body. */
    framing: BodyFraming;
    /** Time in milliseconds by which the end of the body follows the end of what the server has sent. */
    endWaitMilliseconds: number;
    /** Returns whether the connection of a body without a length was reset, or closed by this side, before it ended in order. */
    wasReset: () => boolean;
    /** Calls a function once the server has ended its side of the connection. */
    onInputEnd(listener: () => void): void;
    /** Header and value with which the server names the request that it responds to. */
    correlation: BackendRequest["correlation"];
    /** Returns the bytes that have followed the body on its connection, which belong to no request. */
    trailing: () => Buffer;
    /** Closes the connection. */
    close(): void;
}
