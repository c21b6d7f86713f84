import type { CallerConnection } from "./caller_connection.ts";
import { ResponseQueue } from "./response_queue.ts";

/** Creates the record of a connection that was opened at a monotonic time in milliseconds. */
export function createCallerConnection(openedAt: number): CallerConnection {
    return {
        requests: 0,
        responses: new ResponseQueue(),
        announcedIdleMilliseconds: 0,
        idleSince: openedAt,
        answerUnread: false,
        wholeBytes: 0,
        bodyPending: false,
        current: undefined,
        reported: false,
        rejection: undefined,
        rejectedDuring: undefined,
        closing: false,
        end: undefined,
    };
}
