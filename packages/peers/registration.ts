import { PeriodicTask, sleep } from "../clocks/mod.ts";
import type { CoordinationStore, StoreLease } from "../coordination/mod.ts";
import type { Logger } from "../logs/mod.ts";

/**
 * Time after which the item of an instance that no longer renews its lease is removed. It is long, since each renewal is
 * a call to the store; peers remove the item of an instance that has ended sooner.
 */
const LEASE_MILLISECONDS = 60_000;
const RENEWAL_MILLISECONDS = 20_000;
const MINIMUM_RETRY_MILLISECONDS = 700;
const MAXIMUM_RETRY_MILLISECONDS = 2_500;

/**
 * Keeps an item in the store while this process runs, by renewing its lease.
 *
 * @example
 * ```ts
 * const registration = new Registration(store, "instances/a", "{}", logger);
 * await registration.close();
 * ```
 */
export class Registration {
    readonly #task: PeriodicTask;
    #lease: StoreLease | undefined;
    #retryMilliseconds = MINIMUM_RETRY_MILLISECONDS;
    #wake = new AbortController();

    /**
     * @param store The store.
     * @param key Key of the item.
     * @param value Value of the item.
     * @param logger Receives failures.
     */
    constructor(
        private readonly store: CoordinationStore,
        private readonly key: string,
        private readonly value: string,
        private readonly logger: Logger,
    ) {
        this.#task = new PeriodicTask(0, signal => this.#step(signal), error => {
            this.logger.error("registration task failed", { error: String(error) });
        });
    }

    /**
     * Removes the item.
     *
     * @returns A promise that resolves once the store has responded or the call has timed out.
     */
    async close(): Promise<void> {
        await this.#task.close();
        if (this.#lease !== undefined) {
            await this.store.revokeLease(this.#lease);
        }
    }

    /** Writes the item again, since it was removed although this process still runs. */
    renew(): void {
        this.#lease = undefined;
        this.#wake.abort();
    }

    /**
     * Writes the item again unless the store has it, since it may lack the item or have that of a former process after it
     * has come back from an older copy.
     *
     * @param stored Value of the item in the store; undefined if there is none.
     */
    renewUnless(stored: string | undefined): void {
        if (stored !== this.value) {
            this.renew();
        }
    }

    async #step(signal: AbortSignal): Promise<void> {
        const renewed = this.#lease === undefined ? await this.#register() : await this.#renew(this.#lease);
        this.#retryMilliseconds = renewed
            ? MINIMUM_RETRY_MILLISECONDS
            : Math.min(MAXIMUM_RETRY_MILLISECONDS, this.#retryMilliseconds * 2);
        // A removal that was noticed meanwhile is followed by a new registration at once.
        const wake = this.#wake;
        this.#wake = wake.signal.aborted ? new AbortController() : wake;
        const pause = renewed ? RENEWAL_MILLISECONDS : this.#retryMilliseconds;
        await sleep(wake.signal.aborted ? 0 : pause, AbortSignal.any([signal, this.#wake.signal]));
    }

    async #register(): Promise<boolean> {
        const lease = await this.store.createLease(LEASE_MILLISECONDS);
        if (lease.isErr()) {
            this.logger.warn("cannot register", { error: lease.error.message });
            return false;
        }
        const written = await this.store.write([{ key: this.key, value: this.value, lease: lease.value }]);
        if (written.isErr() || written.value.kind !== "stored") {
            this.logger.warn("cannot register", {
                error: written.isErr() ? written.error.message : written.value.kind,
            });
            return false;
        }
        if (written.value.position.era !== lease.value.era) {
            // In this era, the number of the lease may belong to another instance.
            this.logger.warn("cannot register", { error: "The store came back from an older copy" });
            return false;
        }
        this.#lease = lease.value;
        return true;
    }

    async #renew(lease: StoreLease): Promise<boolean> {
        const renewed = await this.store.renewLease(lease);
        if (renewed.isErr()) {
            return false;
        }
        if (!renewed.value) {
            this.logger.warn("registration lapsed", {});
            this.#lease = undefined;
        }
        return renewed.value;
    }
}
