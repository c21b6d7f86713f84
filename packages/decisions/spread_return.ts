import { RandomSource } from "../randomness/mod.ts";
import type { ReturnPolicy } from "./return_policy.ts";
import type { ServiceUrgencies } from "./service_urgencies.ts";
import type { WaitEstimator } from "./wait_estimator.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Shortest delay in milliseconds: about the time that an engine takes for one request. */
const MINIMUM_DELAY_MILLISECONDS = 1_000;
/** Longest delay in milliseconds before jitter; callers wait for at most a third of their remaining time anyway. */
const MAXIMUM_DELAY_MILLISECONDS = 4_000;
/** Time in milliseconds by which each urgency returns later than the next more urgent one. */
const URGENCY_STEP_MILLISECONDS = 250;
/** Largest part of the delay that is added at random, so that callers refused together do not return together. */
const JITTER_FRACTION = 0.5;

/**
 * Callers return when room for their urgency is expected, the more urgent ones first, spread by jitter (M. Brooker,
 * Exponential Backoff and Jitter, AWS Architecture Blog, 2015).
 *
 * @example
 * ```ts
 * new SpreadReturn(estimator, urgencies, 7).delayMilliseconds(request, now);
 * ```
 */
export class SpreadReturn implements ReturnPolicy {
    readonly #random: RandomSource;

    /**
     * @param estimator Expects waits.
     * @param urgencies Urgencies of the services.
     * @param seed Seed of the jitter; that of each instance differs.
     */
    constructor(
        private readonly estimator: WaitEstimator,
        private readonly urgencies: ServiceUrgencies,
        seed: number,
    ) {
        this.#random = new RandomSource(seed);
    }

    /**
     * Returns the delay of a refused request.
     *
     * @param request The request.
     * @param now Monotonic time in milliseconds.
     * @returns The delay in milliseconds.
     */
    delayMilliseconds(request: WaitingRequest, now: number): number {
        const expected = this.estimator.expectMilliseconds(request, now) ?? 0;
        const delay = Math.min(MAXIMUM_DELAY_MILLISECONDS, Math.max(MINIMUM_DELAY_MILLISECONDS, expected));
        const rank = this.urgencies.rank(request.service, request.urgency) ?? 0;
        return delay * (1 + JITTER_FRACTION * this.#random.next()) + rank * URGENCY_STEP_MILLISECONDS;
    }
}
