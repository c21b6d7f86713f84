import { SlidingWindowCounter } from "./_sliding_window_counter.ts";

/** Units used in a sliding window, by organisation. */
export class UsageWindows {
    readonly #windows = new Map<string, SlidingWindowCounter>();

    constructor(private readonly milliseconds: number) {}

    /** Adds units; the function that is returned takes them back. */
    add(organisation: string, units: number, now: number): () => void {
        return this.#get(organisation).add(units, now);
    }

    /** Units of one organisation in the window. */
    sum(organisation: string, now: number): number {
        return this.#get(organisation).sum(now);
    }

    /** Units of all organisations in the window, without those that used none. */
    sums(now: number): Record<string, number> {
        const sums: Record<string, number> = {};
        for (const [organisation, window] of this.#windows) {
            const sum = window.sum(now);
            if (sum > 0) {
                sums[organisation] = Math.round(sum);
            }
        }
        return sums;
    }

    #get(organisation: string): SlidingWindowCounter {
        const window = this.#windows.get(organisation) ?? new SlidingWindowCounter(this.milliseconds);
        this.#windows.set(organisation, window);
        return window;
    }
}
