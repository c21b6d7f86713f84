interface Entry {
    id: string;
    at: number;
    amount: number;
    settled: boolean;
}

const MAXIMUM_ENTRIES = 20_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Token bucket to which the unused part of a charge can be returned.
 *
 * A return replays all charges since the oldest unsettled one with the corrected amounts. The result is the level that
 * the bucket would have had if only the used tokens had been charged, so that no window ever exceeds the limit, however
 * returns and charges interleave.
 *
 * @example
 * ```ts
 * const bucket = new ReplayBucket(10, 100, 100, 0);
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
     * @param level Level to start with.
     * @param now Present time in milliseconds.
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

    /** Number of charges that a return could still change. */
    get entryCount(): number {
        return this.#entries.length;
    }

    /**
     * Computes the tokens available.
     *
     * @param now Present time in milliseconds; a time before the last one counts as the last one.
     * @returns The level.
     */
    level(now: number): number {
        return this.#fill(this.#level, this.#at, Math.max(now, this.#at));
    }

    /**
     * Takes tokens out if there are enough.
     *
     * @param id Identifies the charge.
     * @param amount Tokens.
     * @param now Present time in milliseconds.
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
     * Corrects a charge to what was used.
     *
     * @param id Identifies the charge; an unknown one is passed over.
     * @param used Tokens used; more than was charged counts as what was charged.
     * @param now Present time in milliseconds.
     */
    settle(id: string, used: number, now: number): void {
        const entry = this.#entries.find(candidate => candidate.id === id && !candidate.settled);
        if (!entry) {
            return;
        }
        entry.settled = true;
        entry.amount = Math.min(entry.amount, Math.max(0, used));
        this.#replay(Math.max(now, this.#at));
    }

    /**
     * Settles charges older than a time with their whole amount.
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
     * @param now Present time in milliseconds.
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

    #replay(now: number): void {
        this.#dropSettled();
        let level = this.#baseLevel;
        let at = this.#baseAt;
        for (const entry of this.#entries) {
            level = this.#fill(level, at, entry.at) - entry.amount;
            at = entry.at;
        }
        this.#level = this.#fill(level, at, now);
        this.#at = now;
    }

    #dropSettled(): void {
        let count = 0;
        for (const entry of this.#entries) {
            if (!entry.settled) {
                break;
            }
            this.#baseLevel = this.#fill(this.#baseLevel, this.#baseAt, entry.at) - entry.amount;
            this.#baseAt = entry.at;
            count++;
        }
        this.#entries.splice(0, count);
    }

    #fill(level: number, from: number, to: number): number {
        return Math.min(this.burstTokens, level + this.tokensPerSecond * (to - from) / MILLISECONDS_PER_SECOND);
    }
}
