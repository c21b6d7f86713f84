import { PeriodicTask } from "../clocks/mod.ts";
import type { EraWitnessOptions } from "./era_witness_options.ts";

/** Time in milliseconds between two looks at the item. */
const CHECK_MILLISECONDS = 500;

/**
 * Keeps the last era of the store that instances have trusted, in the store itself. A copy brings back an earlier era, so
 * an instance that starts can tell a store which has just come back from one that has not.
 *
 * @example
 * ```ts
 * const witness = new EraWitness(options);
 * witness.start();
 * witness.confirms(replica.position.era); // false while the copy may lack what is yet to be written again
 * await witness.close();
 * ```
 */
export class EraWitness {
    #task: PeriodicTask | undefined;
    /** Causes of failed writes since the last one that succeeded. */
    readonly #causes = new Set<string>();

    /**
     * @param options Dependencies of the witness.
     */
    constructor(private readonly options: EraWitnessOptions) {}

    /**
     * Returns whether the store holds an item which says that an era was trusted. Before an instance has written one, only
     * a fleet that starts for the first time trusts the store.
     *
     * @param era The era.
     * @returns Whether the era was trusted.
     */
    confirms(era: number): boolean {
        const { replica, key, isFirstStart } = this.options;
        const item = replica.getStored(key);
        return item ? item.value === String(era) : isFirstStart;
    }

    /** Begins to write each era that is trusted, if this instance is one of those that read the store. */
    start(): void {
        this.#task = new PeriodicTask(CHECK_MILLISECONDS, async () => await this.#step(), error => {
            this.#warn(String(error));
        });
    }

    /**
     * Stops writing.
     *
     * @returns A promise that resolves once the last write has ended.
     */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    async #step(): Promise<void> {
        const { replica, key, store, isWriter, isTrusted, logger } = this.options;
        const { era } = replica.position;
        if (!replica.isFilled || replica.getStored(key)?.value === String(era) || !isWriter() || !isTrusted()) {
            return;
        }
        // A write that takes effect in a later era names one that is past, so it confirms nothing.
        const written = await store.write([{ key, value: String(era) }]);
        const outcome = written.isOk() ? written.value.kind : written.error.message;
        if (outcome === "stored") {
            this.#causes.clear();
            logger.info("era recorded", { era });
        }
        else {
            this.#warn(outcome);
        }
    }

    /** Warns of a write that has failed, once for each cause; the next check tries again. */
    #warn(cause: string): void {
        if (!this.#causes.has(cause)) {
            this.#causes.add(cause);
            this.options.logger.warn("era not recorded", { era: this.options.replica.position.era, cause });
        }
    }
}
