import type { EndedBy } from "./ended_by.ts";

/** What the router knows of one request of a caller and of its answer. */
export interface CallerExchange {
    /** The caller's id of this attempt; empty if it sent none. */
    id: string;
    /** Monotonic time in milliseconds at which the request's headers were received. */
    receivedAt: number;
    /** Bytes of the body that have been read. */
    bodyBytes: number;
    /** Number of events of a stream that were written to the connection. */
    events: number;
    /** Id of the last of these events; undefined before the first. */
    lastEventId: number | undefined;
    /** Number of servers that may have run the request from here. */
    runs: number;
    /** Whether a whole answer was written to the connection. */
    answered: boolean;
    /** Whether the request may run only once and has been passed on, so that its answer is waited for. */
    isCommitted: boolean;
    /** Why the router closes the connection before the answer is complete; undefined while it doesn't. */
    end: { by: EndedBy; reason: string; } | undefined;
}
