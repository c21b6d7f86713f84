const UINT32_RANGE = 4_294_967_296;

/**
 * Seeded pseudorandom number generator (Mulberry32): equal seeds give equal sequences.
 *
 * @example
 * ```ts
 * const random = new RandomSource(1);
 * random.integer(1, 6);
 * ```
 */
export class RandomSource {
    #state: number;

    /**
     * @param seed Seed; its lower 32 bits are used.
     */
    constructor(seed: number) {
        this.#state = seed >>> 0;
    }

    /**
     * Draws a number from the uniform distribution.
     *
     * @returns A number from 0 up to but not including 1.
     */
    next(): number {
        this.#state = this.#state + 0x6d2b79f5 >>> 0;
        let value = this.#state;
        value = Math.imul(value ^ value >>> 15, value | 1);
        value ^= value + Math.imul(value ^ value >>> 7, value | 61);
        return ((value ^ value >>> 14) >>> 0) / UINT32_RANGE;
    }

    /**
     * Draws an integer from the uniform distribution.
     *
     * @param lowest Lowest result.
     * @param highest Highest result.
     * @returns The number.
     */
    integer(lowest: number, highest: number): number {
        return lowest + Math.floor(this.next() * (highest - lowest + 1));
    }

    /**
     * Draws an item of a list.
     *
     * @param items The list; it must not be empty.
     * @returns The item.
     * @throws {RangeError} If the list is empty.
     */
    pick<Item>(items: readonly Item[]): Item {
        const item = items[Math.floor(this.next() * items.length)];
        if (item === undefined) {
            throw new RangeError("Cannot pick from an empty list");
        }
        return item;
    }

    /**
     * Draws a boolean.
     *
     * @param probability Probability of true.
     * @returns The result.
     */
    chance(probability: number): boolean {
        return this.next() < probability;
    }

    /**
     * Draws the time to the next event of a Poisson process, which is exponentially distributed.
     *
     * @param mean Mean time between events.
     * @returns The time.
     */
    exponential(mean: number): number {
        return -mean * Math.log(1 - this.next());
    }
}
