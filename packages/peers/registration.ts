import { PeriodicTask, sleep } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { Logger } from "../logs/mod.ts";

/** Time in milliseconds after which an instance that no longer renews its lease is removed. */
const LEASE_MILLISECONDS = 10_000;
const RENEWAL_MILLISECONDS = 3_000;
const FIRST_RETRY_MILLISECONDS = 700;
const LONGEST_RETRY_MILLISECONDS = 2_500;

/**
 * Keeps an item in the store for as long as this process lives.
 *
 * @example
 * ```ts
 * const registration = new Registration(store, "instances/a", "{}", logger);
 * await registration.close();
 * ```
 */
export class Registration {
    readonly #task: PeriodicTask;
    #lease: number | undefined;
    #retryMilliseconds = FIRST_RETRY_MILLISECONDS;

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
            this.logger.error("registration failed", { error: String(error) });
        });
    }

    /**
     * Removes the item.
     *
     * @returns A promise that resolves once the store has answered, or did not in time.
     */
    async close(): Promise<void> {
        await this.#task.close();
        if (this.#lease !== undefined) {
            await this.store.revokeLease(this.#lease);
        }
    }

    async #step(signal: AbortSignal): Promise<void> {
        const kept = this.#lease === undefined ? await this.#register() : await this.#renew(this.#lease);
        this.#retryMilliseconds = kept
            ? FIRST_RETRY_MILLISECONDS
            : Math.min(LONGEST_RETRY_MILLISECONDS, this.#retryMilliseconds * 2);
        await sleep(kept ? RENEWAL_MILLISECONDS : this.#retryMilliseconds, signal);
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
        this.#lease = lease.value;
        return true;
    }

    async #renew(lease: number): Promise<boolean> {
        const kept = await this.store.renewLease(lease);
        if (kept.isErr()) {
            return false;
        }
        if (!kept.value) {
            this.logger.warn("registration lapsed", {});
            this.#lease = undefined;
        }
        return kept.value;
    }
}
