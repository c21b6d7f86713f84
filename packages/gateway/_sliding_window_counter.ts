/** Buckets that a window is divided into. */
const BUCKETS = 32;

/** Sum of the amounts in a sliding window. A bucket counts until all of it has left the window. */
export class SlidingWindowCounter {
    readonly #buckets: { startedAt: number; amount: number; }[] = [];

    constructor(private readonly windowMilliseconds: number) {}

    /** Adds an amount and returns a function that subtracts it again. */
    add(amount: number, now: number): () => void {
        let bucket = this.#buckets.at(-1);
        if (!bucket || now - bucket.startedAt >= this.windowMilliseconds / BUCKETS) {
            bucket = { startedAt: now, amount: 0 };
            this.#buckets.push(bucket);
        }
        const charged = bucket;
        charged.amount += amount;
        return () => {
            charged.amount -= amount;
        };
    }

    /** Returns the sum of the amounts in the window. */
    sum(now: number): number {
        const bucketMilliseconds = this.windowMilliseconds / BUCKETS;
        while (this.#buckets[0] && now - this.#buckets[0].startedAt > this.windowMilliseconds + bucketMilliseconds) {
            this.#buckets.shift();
        }
        return this.#buckets.reduce((sum, { amount }) => sum + amount, 0);
    }
}
