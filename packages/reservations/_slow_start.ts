import { monotonicMilliseconds } from "../clocks/mod.ts";
import { reservationTimes } from "./reservation_times.ts";

/** Limits the requests at a server that has just started: one at first, one more for each success. */
export class SlowStart {
    #allowed: number;
    #steppedAt = Number.NEGATIVE_INFINITY;

    constructor(
        private full: number,
        allowed: number,
    ) {
        this.#allowed = Math.min(full, Math.max(1, allowed));
    }

    /** Requests allowed at a time. */
    get allowed(): number {
        return this.#allowed;
    }

    /** Changes what a warm server is allowed. */
    setMaximum(full: number): void {
        const wasFull = this.#allowed >= this.full;
        this.full = full;
        this.#allowed = wasFull ? full : Math.min(full, this.#allowed);
    }

    /** Allows what the server is seen to bear. */
    raiseTo(allowed: number): void {
        this.#allowed = Math.min(this.full, Math.max(this.#allowed, allowed));
    }

    /** Starts again with one request; the first step comes no sooner than any other. */
    reset(): void {
        this.#allowed = 1;
        this.#steppedAt = monotonicMilliseconds();
    }

    /** Allows one more request after a success. */
    recordSuccess(): void {
        const now = monotonicMilliseconds();
        if (now - this.#steppedAt >= reservationTimes.rampStepMilliseconds) {
            this.#allowed = Math.min(this.full, this.#allowed + 1);
            this.#steppedAt = now;
        }
    }
}
