import type { TimedRequest } from "./timed_request.ts";

/** Decides how long requests wait for engine memory. */
export interface WaitPolicy {
    /** Returns the monotonic time in milliseconds at which a request is refused if it still waits. */
    giveUpAt(request: TimedRequest): number;
    /** Returns whether a request that has just begun to wait will not get memory in time. */
    isHopeless(request: TimedRequest, now: number): boolean;
}
