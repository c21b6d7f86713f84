/** Time without a confirmation, while the store cannot be read, after which items may have expired in an outage. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time after an outage within which the owners of expired items write them again. */
const RECOVERY_MILLISECONDS = 2_300;

/**
 * Times at which a replica was confirmed, and the end of the last outage, in milliseconds on one clock. A time without
 * confirmations is an outage only if a read has failed in it: otherwise nobody has read the store, which held its items
 * all the while.
 *
 * @example
 * ```ts
 * const times = new ConfirmationTimes();
 * times.record(1_000);
 * times.recordFailure(1_200);
 * times.isRecovering(3_500); // true
 * ```
 */
export class ConfirmationTimes {
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #failedAt = Number.NEGATIVE_INFINITY;
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
        if (this.#isOutageAt(confirmedAt)) {
            this.#outageEndedAt = confirmedAt;
        }
        this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }

    /**
     * Records that the store could not be read.
     *
     * @param failedAt Time of the failure.
     */
    recordFailure(failedAt: number): void {
        this.#failedAt = Math.max(this.#failedAt, failedAt);
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
        return this.#isOutageAt(now) || now < this.#outageEndedAt + RECOVERY_MILLISECONDS;
    }

    /**
     * Returns the time from which on an item that the store lacks is not written again.
     *
     * @param now Current time.
     * @returns The time; in the past unless the store is recovering.
     */
    recoveredFrom(now: number): number {
        return (this.#isOutageAt(now) ? now : this.#outageEndedAt) + RECOVERY_MILLISECONDS;
    }

    #isOutageAt(time: number): boolean {
        return time - this.#confirmedAt > OUTAGE_MILLISECONDS && this.#failedAt > this.#confirmedAt;
    }
}
