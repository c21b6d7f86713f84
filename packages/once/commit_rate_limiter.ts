import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";

/** Writes a second that the fleet's once-only calls may take of the store together. */
const FLEET_WRITES_PER_SECOND = 300;
/** Milliseconds of unused budget that may be spent at once. */
const BURST_MILLISECONDS = 250;

/**
 * Spaces the commits of one instance so that the fleet stays within the store's rates. Calls that arrive while a shard
 * waits for its turn share its next commit, so that a higher load makes larger batches and not more writes.
 *
 * @example
 * ```ts
 * const budget = new CommitBudget(() => 3);
 * await budget.take();
 * ```
 */
export class CommitRateLimiter {
    #nextAt = 0;

    /**
     * @param members Returns the number of instances that share the store.
     */
    constructor(private readonly members: () => number) {}

    /**
     * Waits for the turn of one commit.
     *
     * @returns A promise that resolves when the commit may be made.
     */
    async acquire(): Promise<void> {
        const interval = 1_000 * Math.max(1, this.members()) / FLEET_WRITES_PER_SECOND;
        const now = monotonicMilliseconds();
        const at = Math.max(this.#nextAt, now - BURST_MILLISECONDS);
        this.#nextAt = at + interval;
        if (at > now) {
            await sleep(at - now);
        }
    }
}
