/** Steps in which a window is counted. */
const STEPS = 32;

/** Sum of what was spent in a sliding window; a step counts until all of it has left the window. */
export class SlidingWindowCounter {
    readonly #steps: { startedAt: number; amount: number; }[] = [];

    constructor(private readonly windowMilliseconds: number) {}

    /** Adds an amount and returns a function that takes it back. */
    add(amount: number, now: number): () => void {
        let step = this.#steps.at(-1);
        if (!step || now - step.startedAt >= this.windowMilliseconds / STEPS) {
            step = { startedAt: now, amount: 0 };
            this.#steps.push(step);
        }
        const charged = step;
        charged.amount += amount;
        return () => {
            charged.amount -= amount;
        };
    }

    /** Sums what was added in the window. */
    sum(now: number): number {
        const length = this.windowMilliseconds / STEPS;
        while (this.#steps[0] && now - this.#steps[0].startedAt > this.windowMilliseconds + length) {
            this.#steps.shift();
        }
        return this.#steps.reduce((sum, { amount }) => sum + amount, 0);
    }
}
