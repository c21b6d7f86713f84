import { PeriodicTask, sleep } from "../clocks/mod.ts";
import { positionOf } from "../replica/mod.ts";
import { fencingTokenOf } from "./_fencing_token_of.ts";
import type { LeadershipOptions } from "./leadership_options.ts";
import type { StoreLease } from "./store_lease.ts";

/** Fraction of the lease's lifetime after which it is renewed. */
const RENEWAL_FRACTION = 1 / 3;
/** Fraction of the lease's lifetime, counted from before its renewal was sent, in which the leader may act. */
const ACTING_FRACTION = 0.75;
const POLL_MILLISECONDS = 500;
/** Longest random delay before an attempt to take a vacant leadership, per instance that may take it. */
const ATTEMPT_DELAY_MILLISECONDS_PER_INSTANCE = 15;

/**
 * Elects one instance as the leader through the store. The leader's fencing token follows from the store's position at
 * which it took the leadership, so it grows from leader to leader. A new leader does not act for the length of one
 * lease, so that everything the previous leader sent has arrived by then. A store that has come back from an older copy
 * may lack the item of a leader that still acts, so nobody takes the leadership for one lease from then on.
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
    #lease: StoreLease | undefined;
    #fence = 0;
    #attemptsFrom: number;
    #actsFrom = 0;
    #actsUntil = 0;

    /**
     * @param options Dependencies and settings of the leadership.
     */
    constructor(private readonly options: LeadershipOptions) {
        const { replica, clock, isFirstStart, leaseMilliseconds } = options;
        // An instance that starts cannot know whether the store has just come back.
        this.#attemptsFrom = isFirstStart ? Number.NEGATIVE_INFINITY : clock.now() + leaseMilliseconds;
        replica.onEraChange(() => this.#attemptsFrom = clock.now() + leaseMilliseconds);
        this.#task = new PeriodicTask(0, signal => this.#step(signal), error => {
            options.logger.error("leadership task failed", { error: String(error) });
        });
    }

    /**
     * Returns the fencing token while this instance may act as the leader.
     *
     * @returns The token, or undefined if this instance may not act.
     */
    fence(): number | undefined {
        const now = this.options.clock.now();
        const isValid = this.#lease?.era === this.options.replica.position.era;
        return isValid && now >= this.#actsFrom && now < this.#actsUntil ? this.#fence : undefined;
    }

    /**
     * Gives up the leadership, for example because another instance has acted with a higher fencing token.
     *
     * @returns A promise that resolves once the store has responded or the call has timed out.
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
     * Stops taking part in the election and gives up the leadership.
     *
     * @returns A promise that resolves once the store has responded or the call has timed out.
     */
    async close(): Promise<void> {
        await this.#task.close();
        await this.resign();
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#lease !== undefined) {
            await this.#renew(this.#lease);
            await sleep(this.options.leaseMilliseconds * RENEWAL_FRACTION, signal);
            return;
        }
        if (this.#isVacant()) {
            // With a random delay, most instances see the first one's item before they try to write their own.
            await sleep(Math.random() * ATTEMPT_DELAY_MILLISECONDS_PER_INSTANCE * this.options.instanceCount(), signal);
            if (this.#isVacant() && !signal.aborted) {
                await this.#acquire();
            }
        }
        // A random interval keeps instances that started together from trying at the same time again.
        await sleep(POLL_MILLISECONDS * (0.5 + Math.random()), signal);
    }

    #isVacant(): boolean {
        const { replica, key, clock } = this.options;
        return replica.isFilled && !replica.getStored(key) && clock.now() >= this.#attemptsFrom;
    }

    async #acquire(): Promise<void> {
        const { store, key, self, leaseMilliseconds, clock, logger } = this.options;
        const sentAt = clock.now();
        const lease = await store.createLease(leaseMilliseconds);
        if (lease.isErr()) {
            return;
        }
        const value = JSON.stringify({ leader: self });
        const written = await store.write([{ key, value, isNew: true, lease: lease.value }]);
        if (written.isErr() || written.value.kind !== "stored") {
            // A write without a response may have taken effect; revoking its lease removes the item.
            await store.revokeLease(lease.value);
            return;
        }
        const { position } = written.value;
        if (position.era !== lease.value.era) {
            // In this era, the number of the lease may belong to another instance.
            await store.remove(key, position);
            return;
        }
        this.#fence = fencingTokenOf(position);
        this.#lease = lease.value;
        this.#actsFrom = clock.now() + leaseMilliseconds;
        this.#actsUntil = sentAt + leaseMilliseconds * ACTING_FRACTION;
        logger.info("leadership taken", { fence: this.#fence, ...positionOf(position) });
    }

    async #renew(lease: StoreLease): Promise<void> {
        const { store, leaseMilliseconds, clock, logger } = this.options;
        const sentAt = clock.now();
        const renewed = await store.renewLease(lease);
        if (renewed.isOk() && renewed.value) {
            this.#actsUntil = Math.max(this.#actsUntil, sentAt + leaseMilliseconds * ACTING_FRACTION);
            return;
        }
        if (renewed.isOk()) {
            this.#lease = undefined;
            logger.warn("leadership lost", { fence: this.#fence, ...this.options.replica.position });
        }
    }
}
