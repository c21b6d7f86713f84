/** A charge that is not settled, or that follows one that is not. */
interface Entry {
    id: string;
    at: number;
    amount: number;
    settled: boolean;
}

const MAXIMUM_ENTRIES = 20_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Token bucket to which the unused part of a charge can be refunded.
 *
 * A refund replays all charges since the oldest unsettled one with the corrected amounts. The result is the level that
 * the bucket would have if only the used tokens had been charged, so the limit holds over every time window, however
 * refunds and charges interleave.
 *
 * @example
 * ```ts
 * const bucket = new RefundableTokenBucket(10, 100, 100, 0);
 * bucket.charge("a", 80, 0); // true
 * bucket.settle("a", 30, 1_000);
 * bucket.level(1_000); // 80
 * ```
 */
export class RefundableTokenBucket {
    #entries: Entry[] = [];
    #baseLevel: number;
    #baseAt: number;
    #level: number;
    #at: number;

    /**
     * @param tokensPerSecond Rate at which the bucket fills.
     * @param burstTokens Highest level.
     * @param level Initial level.
     * @param now Current time in milliseconds.
     */
    constructor(
        private tokensPerSecond: number,
        private burstTokens: number,
        level: number,
        now: number,
    ) {
        this.#baseLevel = Math.min(level, burstTokens);
        this.#level = this.#baseLevel;
        this.#baseAt = now;
        this.#at = now;
    }

    /** Highest level. */
    get burst(): number {
        return this.burstTokens;
    }

    /** Tokens added in a second. */
    get rate(): number {
        return this.tokensPerSecond;
    }

    /** Number of charges that are not settled or follow one that is not. */
    get entryCount(): number {
        return this.#entries.length;
    }

    /**
     * Returns the number of tokens available.
     *
     * @param now Current time in milliseconds; a time before the last change counts as the time of that change.
     * @returns The level.
     */
    level(now: number): number {
        return this.#refill(this.#level, this.#at, Math.max(now, this.#at));
    }

    /**
     * Takes tokens from the bucket if it holds enough.
     *
     * @param id Identifies the charge.
     * @param amount Tokens.
     * @param now Current time in milliseconds.
     * @returns Whether the tokens were taken.
     */
    charge(id: string, amount: number, now: number): boolean {
        const at = Math.max(now, this.#at);
        const level = this.level(at);
        if (amount > level) {
            return false;
        }
        this.#level = level - amount;
        this.#at = at;
        this.#entries.push({ id, at, amount, settled: false });
        if (this.#entries.length > MAXIMUM_ENTRIES) {
            this.#settleOldest();
        }
        return true;
    }

    /**
     * Corrects a charge to the tokens that were used.
     *
     * @param id Identifies the charge; an unknown one is ignored.
     * @param used Tokens used; more than was charged counts as what was charged.
     * @param now Current time in milliseconds.
     */
    settle(id: string, used: number, now: number): void {
        const entry = this.#entries.find(candidate => candidate.id === id && !candidate.settled);
        if (!entry) {
            return;
        }
        entry.settled = true;
        entry.amount = Math.min(entry.amount, Math.max(0, used));
        this.#recomputeLevel(Math.max(now, this.#at));
    }

    /**
     * Settles charges made before a time with their full amounts.
     *
     * @param before Time in milliseconds.
     */
    expire(before: number): void {
        while (this.#entries[0] && this.#entries[0].at < before) {
            this.#settleOldest();
        }
    }

    /**
     * Changes rate and burst. Charges made before can no longer be corrected.
     *
     * @param tokensPerSecond New rate.
     * @param burstTokens New highest level.
     * @param now Current time in milliseconds.
     */
    reconfigure(tokensPerSecond: number, burstTokens: number, now: number): void {
        if (tokensPerSecond === this.tokensPerSecond && burstTokens === this.burstTokens) {
            return;
        }
        const at = Math.max(now, this.#at);
        const level = Math.min(this.level(at), burstTokens);
        this.tokensPerSecond = tokensPerSecond;
        this.burstTokens = burstTokens;
        this.#entries = [];
        this.#baseLevel = level;
        this.#baseAt = at;
        this.#level = level;
        this.#at = at;
    }

    #settleOldest(): void {
        const [oldest] = this.#entries;
        if (oldest) {
            oldest.settled = true;
            this.#dropSettled();
        }
    }

    #recomputeLevel(now: number): void {
        this.#dropSettled();
        let level = this.#baseLevel;
        let at = this.#baseAt;
        for (const entry of this.#entries) {
            level = this.#refill(level, at, entry.at) - entry.amount;
            at = entry.at;
        }
        this.#level = this.#refill(level, at, now);
        this.#at = now;
    }

    #dropSettled(): void {
        let count = 0;
        for (const entry of this.#entries) {
            if (!entry.settled) {
                break;
            }
            this.#baseLevel = this.#refill(this.#baseLevel, this.#baseAt, entry.at) - entry.amount;
            this.#baseAt = entry.at;
            count++;
        }
        this.#entries.splice(0, count);
    }

    #refill(level: number, from: number, to: number): number {
        return Math.min(this.burstTokens, level + this.tokensPerSecond * (to - from) / MILLISECONDS_PER_SECOND);
    }
}
