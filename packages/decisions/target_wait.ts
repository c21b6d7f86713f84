import { FixedWait } from "./fixed_wait.ts";
import type { TimedRequest } from "./timed_request.ts";
import type { WaitEstimator } from "./wait_estimator.ts";
import type { WaitPolicy } from "./wait_policy.ts";

/** Multiple of the time left above which an expected wait, which is an average, counts as too long. */
const CERTAINTY_FACTOR = 2;

/**
 * A request waits as long as its first event can meet the target latency, and no shorter than with {@linkcode FixedWait}.
 * One that is not expected to get memory within that time is refused at once.
 *
 * @example
 * ```ts
 * const wait = new TargetWait(new WaitEstimator(demand));
 * wait.isHopeless(request, now) || now >= wait.giveUpAt(request);
 * ```
 */
export class TargetWait implements WaitPolicy {
    readonly #shortest = new FixedWait();

    /**
     * @param estimator Expects waits.
     */
    constructor(private readonly estimator: WaitEstimator) {}

    /**
     * Returns the end of the wait.
     *
     * @param request The request.
     * @returns The time at which the target can no longer be met, at the latest the deadline.
     */
    giveUpAt(request: TimedRequest): number {
        const { receivedAt, targetLatencyMilliseconds, neededMilliseconds, deadline } = request;
        const latest = receivedAt + targetLatencyMilliseconds - neededMilliseconds;
        return Math.min(deadline, Math.max(latest, this.#shortest.giveUpAt(request)));
    }

    /**
     * Returns whether a request should be refused at once.
     *
     * @param request The request, which counts as waiting.
     * @param now Monotonic time in milliseconds.
     * @returns Whether the expected wait clearly exceeds the time left; false if nothing is known of waits.
     */
    isHopeless(request: TimedRequest, now: number): boolean {
        const expected = this.estimator.expectMilliseconds(request, now);
        return expected !== undefined && expected > CERTAINTY_FACTOR * (this.giveUpAt(request) - now);
    }
}
