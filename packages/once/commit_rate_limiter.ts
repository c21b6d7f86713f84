import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";

/** Limit of writes per second to the store for the once-only calls of the whole fleet. */
const FLEET_WRITES_PER_SECOND = 300;
/** Unused time in milliseconds that may be spent on a burst of commits. */
const BURST_MILLISECONDS = 250;

/**
 * Limits the rate of commits of one instance to its share of the fleet's limit, so that the fleet stays within the rate
 * limits of the store. Calls that arrive while a shard waits are committed together, so that a higher load makes larger
 * batches and not more writes.
 *
 * @example
 * ```ts
 * const limiter = new CommitRateLimiter(() => 3);
 * await limiter.acquire();
 * ```
 */
export class CommitRateLimiter {
    #nextAt = 0;

    /**
     * @param members Returns the number of instances that share the limit.
     */
    constructor(private readonly members: () => number) {}

    /**
     * Waits until one commit is allowed.
     *
     * @returns A promise that resolves when the commit may be made.
     */
    async acquire(): Promise<void> {
        const interval = 1_000 * Math.max(1, this.members()) / FLEET_WRITES_PER_SECOND;
        const now = monotonicMilliseconds();
        const startAt = Math.max(this.#nextAt, now - BURST_MILLISECONDS);
        this.#nextAt = startAt + interval;
        if (startAt > now) {
            await sleep(startAt - now);
        }
    }
}
