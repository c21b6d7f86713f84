/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.1;
/** Observations of the same conditions before a run is compared with them. */
const LEAST_OBSERVATIONS = 4;
/** Largest number of conditions; the oldest are forgotten. */
const MAXIMUM_CONDITIONS = 256;

/**
 * Usual times of all engines together by the conditions that they depend on, such as the number of running requests. A
 * geometric moving average, so that single long times have little weight.
 *
 * @example
 * ```ts
 * const pace = new ReferencePace();
 * pace.compare("models pause 3", 14); // undefined until enough is known, then the logarithm of usual / observed
 * ```
 */
export class ReferencePace {
    readonly #usual = new Map<string, { logarithm: number; observations: number; }>();

    /**
     * Compares an observed time with the usual one and includes it there.
     *
     * @param conditions Name of the conditions.
     * @param milliseconds The observed time, above 0.
     * @returns Logarithm of the speed as a factor of the usual one; undefined if the usual one is not known yet.
     */
    compare(conditions: string, milliseconds: number): number | undefined {
        const logarithm = Math.log(milliseconds);
        const known = this.#usual.get(conditions);
        if (!known) {
            const [oldest] = this.#usual.keys();
            if (oldest !== undefined && this.#usual.size >= MAXIMUM_CONDITIONS) {
                this.#usual.delete(oldest);
            }
            this.#usual.set(conditions, { logarithm, observations: 1 });
            return undefined;
        }
        const difference = known.logarithm - logarithm;
        known.observations++;
        // The first observations count equally.
        known.logarithm -= Math.max(NEWEST_WEIGHT, 1 / known.observations) * difference;
        return known.observations > LEAST_OBSERVATIONS ? difference : undefined;
    }
}
