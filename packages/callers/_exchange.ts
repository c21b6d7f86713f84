import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerIdentity } from "./caller_identity.ts";

/** One request of a caller with the response under construction. */
export interface Exchange {
    /** Id of the request: the instance's id and a number. */
    id: string;
    /** Who sent it. */
    caller: CallerIdentity;
    /** The request; its body has been read. */
    request: IncomingMessage;
    /** Path with query. */
    path: string;
    /** The whole body. */
    body: Buffer;
    /** The response. */
    response: ServerResponse;
    /** Ends the request when its caller is gone or its key withdrawn. */
    signal: AbortSignal;
}
