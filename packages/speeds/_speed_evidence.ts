/** Time in milliseconds in which a run loses half of its weight, so that engines that slow by turns are followed. */
const HALF_LIFE_MILLISECONDS = 20_000;

/** Runs of one engine in one stage, as logarithms of speed factors, which lose weight with age. */
export class SpeedEvidence {
    #weight = 0;
    #sum = 0;
    #squares = 0;
    #at = 0;

    /** Adds a run. */
    record(logarithm: number, weight: number, now: number): void {
        const kept = this.#keptFraction(now);
        this.#weight = this.#weight * kept + weight;
        this.#sum = this.#sum * kept + weight * logarithm;
        this.#squares = this.#squares * kept + weight * logarithm ** 2;
        this.#at = now;
    }

    /** Weight of all runs, and the mean and mean square of their logarithms. */
    read(now: number): { weight: number; mean: number; meanSquare: number; } {
        const weight = this.#weight * this.#keptFraction(now);
        return this.#weight === 0
            ? { weight: 0, mean: 0, meanSquare: 0 }
            : { weight, mean: this.#sum / this.#weight, meanSquare: this.#squares / this.#weight };
    }

    #keptFraction(now: number): number {
        return 0.5 ** (Math.max(0, now - this.#at) / HALF_LIFE_MILLISECONDS);
    }
}
