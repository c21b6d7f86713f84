/** Steps in which a window is counted. */
const STEPS = 32;

/** Sum of what was spent in a sliding window; a step counts until all of it has left the window. */
export class SpendingWindow {
    readonly #steps: { startedAt: number; amount: number; }[] = [];

    constructor(private readonly windowMilliseconds: number) {}

    /** Adds an amount. */
    add(amount: number, now: number): void {
        const last = this.#steps.at(-1);
        if (last && now - last.startedAt < this.windowMilliseconds / STEPS) {
            last.amount += amount;
            return;
        }
        this.#steps.push({ startedAt: now, amount });
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
