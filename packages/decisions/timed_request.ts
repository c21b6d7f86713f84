import type { WaitingRequest } from "./waiting_request.ts";

/** What the wait of a request depends on. Times are monotonic times in milliseconds. */
export interface TimedRequest extends WaitingRequest {
    /** Time at which the request was received. */
    receivedAt: number;
    /** Time by which the response must end. */
    deadline: number;
    /** Target latency of its route in milliseconds. */
    targetLatencyMilliseconds: number;
    /** Expected time in milliseconds from the grant of memory to the first event. */
    neededMilliseconds: number;
}
