import { monotonicMilliseconds } from "../clocks/mod.ts";
import { reservationTimes } from "./reservation_times.ts";

/**
 * Slow start of a cold server: limits its concurrent requests to one at first and allows one more after a success, at
 * most once per step interval.
 */
export class SlowStart {
    #allowed: number;
    #lastStepAt = Number.NEGATIVE_INFINITY;

    /**
     * @param full Limit once slow start is complete.
     * @param allowed Limit to start with.
     */
    constructor(
        private full: number,
        allowed: number,
    ) {
        this.#allowed = Math.min(full, Math.max(1, allowed));
    }

    /** Concurrent requests allowed. */
    get allowed(): number {
        return this.#allowed;
    }

    /** Changes the limit that applies once slow start is complete. */
    setMaximum(full: number): void {
        const wasComplete = this.#allowed >= this.full;
        this.full = full;
        this.#allowed = wasComplete ? full : Math.min(full, this.#allowed);
    }

    /** Raises the limit to the load that the server is known to sustain; never lowers it. */
    raiseTo(allowed: number): void {
        this.#allowed = Math.min(this.full, Math.max(this.#allowed, allowed));
    }

    /** Restarts with one request. The first increase also waits for a whole step interval. */
    reset(): void {
        this.#allowed = 1;
        this.#lastStepAt = monotonicMilliseconds();
    }

    /** Allows one more request after a success, unless the last step was too recent. */
    recordSuccess(): void {
        const now = monotonicMilliseconds();
        if (now - this.#lastStepAt >= reservationTimes.slowStartStepMilliseconds) {
            this.#allowed = Math.min(this.full, this.#allowed + 1);
            this.#lastStepAt = now;
        }
    }
}
