import { monotonicMilliseconds } from "../clocks/mod.ts";

/** Time in milliseconds between two looks at the clock. */
const PERIOD_MILLISECONDS = 50;
/** Time in milliseconds for which a late turn counts at least; at most twice as long. */
const MEMORY_MILLISECONDS = 5_000;

/**
 * Watches how late the turns of the event loop come: because callbacks take long, because the process gets little
 * processor time, or because it is stopped.
 *
 * @example
 * ```ts
 * const turns = new TurnWatch();
 * turns.latenessMilliseconds;
 * turns.close();
 * ```
 */
export class TurnWatch {
    readonly #timer: NodeJS.Timeout;
    #lookedAt: number;
    #lookedBeforeAt: number;
    #longest = 0;
    #longestBefore = 0;
    #memorySince: number;

    /**
     * @param now Source of monotonic time in milliseconds.
     */
    constructor(private readonly now: () => number = monotonicMilliseconds) {
        const startedAt = now();
        this.#lookedAt = startedAt;
        this.#lookedBeforeAt = startedAt;
        this.#memorySince = startedAt;
        this.#timer = setInterval(() => this.#look(), PERIOD_MILLISECONDS);
        this.#timer.unref();
    }

    /** The longest time in milliseconds by which a turn came late during the last seconds. */
    get latenessMilliseconds(): number {
        return Math.max(this.#longest, this.#longestBefore, this.#lateness());
    }

    /**
     * Monotonic time in milliseconds before which a signal that is being handled had not been sent. The loop reads signals
     * after the timers of a turn, so the last look may have come after the signal, the one before may not.
     */
    get signalNotBefore(): number {
        return this.#lookedBeforeAt;
    }

    /** Ends the watch. */
    close(): void {
        clearInterval(this.#timer);
    }

    #look(): void {
        const lateness = this.#lateness();
        this.#lookedBeforeAt = this.#lookedAt;
        this.#lookedAt = this.now();
        if (this.#lookedAt - this.#memorySince >= MEMORY_MILLISECONDS) {
            this.#memorySince = this.#lookedAt;
            this.#longestBefore = this.#longest;
            this.#longest = 0;
        }
        this.#longest = Math.max(this.#longest, lateness);
    }

    #lateness(): number {
        return Math.max(0, this.now() - this.#lookedAt - PERIOD_MILLISECONDS);
    }
}
