import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";

/** Difference in milliseconds between the clocks above which the process counts as suspended; timers jitter below it. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 100;

/**
 * Clock for the age of knowledge: it never runs slower than real time, even across a suspension of the machine, which
 * the monotonic clock does not count. A jump of the time of day ahead counts as a suspension.
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
     * @param wall Source of the time of day in milliseconds.
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
