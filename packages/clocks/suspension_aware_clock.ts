import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

/** Divergence of the two clocks above which the machine counts as suspended; smaller differences are jitter. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 100;

/**
 * Clock for the age of data. It never runs slower than real time: it also counts the time in which the machine was
 * suspended, which the monotonic clock does not. A forward jump of the wall clock counts as a suspension.
 *
 * @example
 * ```ts
 * const clock = new SuspensionAwareClock();
 * const before = clock.now();
 * const age = clock.now() - before;
 * ```
 */
export class SuspensionAwareClock {
    #offset = 0;
    #difference: number;

    /**
     * @param monotonic Source of monotonic time in milliseconds.
     * @param wall Source of the wall-clock time in milliseconds.
     */
    constructor(
        private readonly monotonic: () => number = monotonicMilliseconds,
        private readonly wall: () => number = Date.now,
    ) {
        this.#difference = this.wall() - this.monotonic();
    }

    /**
     * Reads the clock.
     *
     * @returns Milliseconds since an arbitrary origin.
     */
    now(): number {
        const monotonic = this.monotonic();
        const difference = this.wall() - monotonic;
        const jump = difference - this.#difference;
        if (jump > SUSPENSION_THRESHOLD_MILLISECONDS) {
            this.#offset += jump;
            this.#difference = difference;
        }
        else if (jump < -SUSPENSION_THRESHOLD_MILLISECONDS) {
            this.#difference = difference;
        }
        return monotonic + this.#offset;
    }
}
