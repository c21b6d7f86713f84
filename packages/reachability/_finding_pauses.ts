/** Shortest time in milliseconds between a finding that the links stand and the next one. */
const PAUSE_MILLISECONDS = 1_000;
/** Longest such time, if one server alone gives rise to it again and again. */
const LONGEST_PAUSE_MILLISECONDS = 3_000;
const PAUSE_GROWTH = 2;
/** Time in milliseconds without a finding after which pauses are short again. */
const MEMORY_MILLISECONDS = 10_000;

/** Decides when the links may be probed again after they were found to stand, since probes cost their servers work. */
export class FindingPauses {
    #foundAt = Number.NEGATIVE_INFINITY;
    #pauseMilliseconds = PAUSE_MILLISECONDS;
    #suspects: ReadonlySet<string> = new Set();

    /** Records that the links were found to stand though these servers made them suspect. */
    record(suspects: ReadonlySet<string>, now: number): void {
        this.#pauseMilliseconds = now - this.#foundAt > MEMORY_MILLISECONDS
            ? PAUSE_MILLISECONDS
            : Math.min(LONGEST_PAUSE_MILLISECONDS, this.#pauseMilliseconds * PAUSE_GROWTH);
        this.#foundAt = now;
        this.#suspects = suspects;
    }

    /** Time from which the links may be probed because of these servers, by calls that have failed or that only wait. */
    endFor(suspects: ReadonlySet<string>, areWaiting = false): number {
        const [only] = suspects;
        // A call that waits alone may just take long, at whichever server.
        const isKnown = suspects.size === 1 && only !== undefined && (areWaiting || this.#suspects.has(only));
        return this.#foundAt + (isKnown ? this.#pauseMilliseconds : PAUSE_MILLISECONDS);
    }
}
