import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerExchange } from "./caller_exchange.ts";
import type { EndedBy } from "./ended_by.ts";
import type { ResponseQueue } from "./response_queue.ts";

/** A caller's connection. */
export interface CallerConnection {
    /** Number of requests whose headers were received. */
    requests: number;
    responses: ResponseQueue;
    /** Idle limit in milliseconds that the last answer announced. */
    announcedIdleMilliseconds: number;
    /** Monotonic time in milliseconds at which the last answer ended. */
    idleSince: number;
    /** Whether an answer has ended and not been sent as a whole. */
    answerUnread: boolean;
    /** Bytes received up to the end of the last whole request. */
    wholeBytes: number;
    /** Whether the rest of the body of an answered request has not arrived. */
    bodyPending: boolean;
    /** The request that has no complete answer yet. */
    current: { exchange: CallerExchange; incoming: IncomingMessage; response: ServerResponse; } | undefined;
    /** Whether the end of the connection has been reported. */
    reported: boolean;
    /** Status line of the answer to bytes that are no request or did not arrive in time. */
    rejection: string | undefined;
    /** The whole request that was being answered when later bytes of the connection were rejected. */
    rejectedDuring: CallerExchange | undefined;
    /** Whether the router has closed its side, since the connection was idle. */
    closing: boolean;
    /** Why the connection failed. */
    end: { by: EndedBy; reason: string; } | undefined;
}
