import { SlidingWindowCounter } from "./_sliding_window_counter.ts";

/** Units used in a sliding window, by key. */
export class UsageWindows {
    readonly #windows = new Map<string, SlidingWindowCounter>();

    constructor(private readonly milliseconds: number) {}

    /** Adds units; the function that is returned takes them back. */
    add(key: string, units: number, now: number): () => void {
        return this.#get(key).add(units, now);
    }

    /** Units of one key in the window. */
    sum(key: string, now: number): number {
        return this.#get(key).sum(now);
    }

    /** Units of all keys in the window, without those that used none. */
    sums(now: number): Record<string, number> {
        const sums: Record<string, number> = {};
        for (const [key, window] of this.#windows) {
            const sum = window.sum(now);
            if (sum > 0) {
                sums[key] = Math.round(sum);
            }
            else {
                this.#windows.delete(key);
            }
        }
        return sums;
    }

    /** Forgets a key. */
    delete(key: string): void {
        this.#windows.delete(key);
    }

    #get(key: string): SlidingWindowCounter {
        const window = this.#windows.get(key) ?? new SlidingWindowCounter(this.milliseconds);
        this.#windows.set(key, window);
        return window;
    }
}
