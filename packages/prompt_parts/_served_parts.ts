import { monotonicMilliseconds } from "../clocks/mod.ts";

/** Time in milliseconds for which a part that was served is not suspected. */
const SERVED_LIFETIME_MILLISECONDS = 30_000;
/** Time in milliseconds for which a suspected part is reported as served. */
const REPORT_MILLISECONDS = 3_000;
/** Smallest advance in milliseconds of a reported time that is passed on; reports age on their way. */
const REPORTED_ADVANCE_MILLISECONDS = 1_000;
/** Largest number of parts in a report. */
const MAXIMUM_REPORTED = 256;
const MAXIMUM_PARTS = 8_192;

/** Parts of prompts that were served lately, here or at another instance that said so. */
export class ServedParts {
    /** Monotonic times in milliseconds at which parts were last served. */
    readonly #served = new Map<string, number>();
    /** Monotonic times in milliseconds at which served parts were suspected by others. */
    readonly #contested = new Map<string, number>();

    /**
     * Records that a part was served.
     *
     * @param part The part.
     * @param at Monotonic time in milliseconds.
     * @returns Whether this is news: `"none"`, `"later"`, or `"worth reporting"` if the part is suspected.
     */
    record(part: string, at: number): "none" | "later" | "worth reporting" {
        const previous = this.#served.get(part);
        if (previous !== undefined && at <= previous) {
            return "none";
        }
        this.#served.delete(part);
        this.#served.set(part, at);
        const [oldest] = this.#served.keys();
        if (this.#served.size > MAXIMUM_PARTS && oldest !== undefined) {
            this.#served.delete(oldest);
        }
        return previous === undefined || at - previous > REPORTED_ADVANCE_MILLISECONDS ? "worth reporting" : "later";
    }

    /**
     * Returns whether a part was served lately.
     *
     * @param part The part.
     * @returns Whether it was.
     */
    has(part: string): boolean {
        const at = this.#served.get(part);
        return at !== undefined && at > monotonicMilliseconds() - SERVED_LIFETIME_MILLISECONDS;
    }

    /**
     * Reports a part as served for some time, since others suspect it.
     *
     * @param part The part.
     * @returns Whether it was not reported before.
     */
    report(part: string): boolean {
        const isNew = !this.#contested.has(part);
        this.#contested.set(part, monotonicMilliseconds());
        return isNew;
    }

    /**
     * Lists the parts to report.
     *
     * @returns Parts, with the monotonic times in milliseconds at which they were last served.
     */
    reported(): [string, number][] {
        const oldest = monotonicMilliseconds() - REPORT_MILLISECONDS;
        for (const [part, at] of this.#contested) {
            if (at < oldest) {
                this.#contested.delete(part);
            }
        }
        return [...this.#contested.keys()].slice(-MAXIMUM_REPORTED).flatMap(part => {
            const at = this.#served.get(part);
            return at === undefined ? [] : [[part, at]];
        });
    }
}
