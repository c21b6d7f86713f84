import { PeriodicTask, sleep } from "../clocks/mod.ts";
import type { LeadershipOptions } from "./leadership_options.ts";

/** Part of the lease after which it is renewed. */
const RENEWAL_SHARE = 1 / 3;
/** Part of the lease, counted from before its renewal was sent, in which the leader may act. */
const ACTING_SHARE = 0.75;
const POLL_MILLISECONDS = 500;
/** Time in milliseconds by which one instance more spreads the attempts of all to take the leadership. */
const SPREAD_MILLISECONDS = 15;

/**
 * Elects one instance through the store. The leader's fencing number is the revision at which it took the leadership;
 * it grows from leader to leader. A new leader does nothing for one lease, so that what the former leader had sent has
 * arrived.
 *
 * @example
 * ```ts
 * const leadership = new Leadership(options);
 * const fence = leadership.fence();
 * await leadership.close();
 * ```
 */
export class Leadership {
    readonly #task: PeriodicTask;
    #lease: number | undefined;
    #fence = 0;
    #actsFrom = 0;
    #actsUntil = 0;

    /**
     * @param options What the leadership works with.
     */
    constructor(private readonly options: LeadershipOptions) {
        this.#task = new PeriodicTask(0, signal => this.#step(signal), error => {
            options.logger.error("leadership failed", { error: String(error) });
        });
    }

    /**
     * Returns the fencing number while this instance may act as the leader.
     *
     * @returns The number, or undefined.
     */
    fence(): number | undefined {
        const now = this.options.clock.now();
        return this.#lease !== undefined && now >= this.#actsFrom && now < this.#actsUntil ? this.#fence : undefined;
    }

    /**
     * Gives the leadership up, since another instance has acted with a higher number.
     *
     * @returns A promise that resolves once the store has answered, or did not in time.
     */
    async resign(): Promise<void> {
        const lease = this.#lease;
        this.#lease = undefined;
        this.#actsUntil = 0;
        if (lease !== undefined) {
            this.options.logger.info("leadership given up", { fence: this.#fence });
            await this.options.store.revokeLease(lease);
        }
    }

    /**
     * Stops, and gives the leadership up.
     *
     * @returns A promise that resolves once the store has answered, or did not in time.
     */
    async close(): Promise<void> {
        await this.#task.close();
        await this.resign();
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#lease !== undefined) {
            await this.#renew(this.#lease);
            await sleep(this.options.leaseMilliseconds * RENEWAL_SHARE, signal);
            return;
        }
        if (this.#isVacant()) {
            // The one that is first is known to the others before most of them have asked.
            await sleep(Math.random() * SPREAD_MILLISECONDS * this.options.instanceCount(), signal);
            if (this.#isVacant() && !signal.aborted) {
                await this.#acquire();
            }
        }
        // Instances that start together must not ask in the same moment again.
        await sleep(POLL_MILLISECONDS * (0.5 + Math.random()), signal);
    }

    #isVacant(): boolean {
        const { replica, key } = this.options;
        return replica.revision > 0 && !replica.get(key);
    }

    async #acquire(): Promise<void> {
        const { store, key, self, leaseMilliseconds, clock, logger } = this.options;
        const sentAt = clock.now();
        const lease = await store.createLease(leaseMilliseconds);
        if (lease.isErr()) {
            return;
        }
        const value = JSON.stringify({ leader: self });
        const written = await store.write([{ key, value, expectedRevision: 0, lease: lease.value }]);
        if (written.isErr() || written.value.kind !== "stored") {
            // A write without an answer may have taken effect; ending its lease removes it.
            await store.revokeLease(lease.value);
            return;
        }
        this.#lease = lease.value;
        this.#fence = written.value.revision;
        this.#actsFrom = clock.now() + leaseMilliseconds;
        this.#actsUntil = sentAt + leaseMilliseconds * ACTING_SHARE;
        logger.info("leadership taken", { fence: this.#fence });
    }

    async #renew(lease: number): Promise<void> {
        const { store, leaseMilliseconds, clock, logger } = this.options;
        const sentAt = clock.now();
        const kept = await store.renewLease(lease);
        if (kept.isOk() && kept.value) {
            this.#actsUntil = Math.max(this.#actsUntil, sentAt + leaseMilliseconds * ACTING_SHARE);
            return;
        }
        if (kept.isOk()) {
            this.#lease = undefined;
            logger.warn("leadership lost", { fence: this.#fence });
        }
    }
}
