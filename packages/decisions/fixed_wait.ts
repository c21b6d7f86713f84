import type { TimedRequest } from "./timed_request.ts";
import type { WaitPolicy } from "./wait_policy.ts";

/** Longest time in milliseconds that a request waits for memory. */
const MAXIMUM_WAIT_MILLISECONDS = 540;

/**
 * The same wait for every request.
 *
 * @example
 * ```ts
 * new FixedWait().giveUpAt(request);
 * ```
 */
export class FixedWait implements WaitPolicy {
    /**
     * Returns the end of the wait.
     *
     * @param request The request.
     * @returns A fixed time after the beginning of the wait, at the latest the deadline.
     */
    giveUpAt(request: Pick<TimedRequest, "since" | "deadline">): number {
        return Math.min(request.deadline, request.since + MAXIMUM_WAIT_MILLISECONDS);
    }

    /**
     * Never refuses a request at once.
     *
     * @returns False.
     */
    isHopeless(): boolean {
        return false;
    }
}
