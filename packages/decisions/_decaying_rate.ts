const MILLISECONDS_PER_SECOND = 1_000;

/** Rate of events as an exponentially weighted moving average. */
export class DecayingRate {
    #sum = 0;
    #updatedAt = 0;

    constructor(private readonly lifetimeMilliseconds: number) {}

    /** Adds an amount. */
    add(amount: number, now: number): void {
        this.#sum = this.#decayed(now) + amount;
        this.#updatedAt = now;
    }

    /** The amount per second. */
    perSecond(now: number): number {
        return this.#decayed(now) / this.lifetimeMilliseconds * MILLISECONDS_PER_SECOND;
    }

    #decayed(now: number): number {
        return this.#sum * Math.exp(-Math.max(0, now - this.#updatedAt) / this.lifetimeMilliseconds);
    }
}
