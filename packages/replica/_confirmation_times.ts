/** Time without a confirmation after which leased items may have expired although their owners still run. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time after an outage within which the owners of expired items write them again. */
const RECOVERY_MILLISECONDS = 2_300;

/**
 * Times at which a replica was confirmed, and the end of the last outage, in milliseconds on one clock.
 *
 * @example
 * ```ts
 * const times = new ConfirmationTimes();
 * times.record(1_000);
 * times.isRecovering(3_500); // true
 * ```
 */
export class ConfirmationTimes {
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #outageEndedAt = Number.NEGATIVE_INFINITY;

    /** Start of the read that last confirmed the replica. */
    get confirmedAt(): number {
        return this.#confirmedAt;
    }

    /**
     * Records a confirmation; one that is older than the last has no effect.
     *
     * @param confirmedAt Start of the read that confirmed the replica.
     */
    record(confirmedAt: number): void {
        if (confirmedAt - this.#confirmedAt > OUTAGE_MILLISECONDS) {
            this.#outageEndedAt = confirmedAt;
        }
        this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }

    /**
     * Records the end of an outage, however short it was.
     *
     * @param endedAt Start of the first read after it.
     */
    endOutage(endedAt: number): void {
        this.#outageEndedAt = endedAt;
    }

    /**
     * Returns whether the store is unreachable or was so until recently.
     *
     * @param now Current time.
     * @returns Whether it is or was.
     */
    isRecovering(now: number): boolean {
        return now - this.#confirmedAt > OUTAGE_MILLISECONDS || now - this.#outageEndedAt < RECOVERY_MILLISECONDS;
    }
}
