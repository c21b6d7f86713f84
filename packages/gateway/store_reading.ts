import type { SuspensionAwareClock } from "../clocks/mod.ts";
import { type CoordinationStore, EraWitness } from "../coordination/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { StreamVersions } from "../stream_versions/mod.ts";
import { ERA_WITNESS_KEY } from "./_era_witness_key.ts";
import { DirectoryUpdater } from "./directory_updater.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Dependencies of what is read from the store. */
interface StoreReadingOptions {
    decodeItem: GatewayAdapter["decodeItem"];
    store: CoordinationStore;
    replica: ItemReplica;
    directory: Directory;
    clock: SuspensionAwareClock;
    settings: () => GatewaySettings;
    /** Whether this instance reads the store for others. */
    isReader: () => boolean;
    /** Number of instances, this one included. */
    instanceCount: () => number;
    metrics: Metrics;
    logger: Logger;
}

/**
 * What an instance reads from the store: applies it to the directory, tells whether it can lack what is yet to be written
 * again, and knows which software version began a stream.
 *
 * @example
 * ```ts
 * const reading = new StoreReading(options);
 * reading.start();
 * await reading.close();
 * ```
 */
export class StoreReading {
    /** Applies what is read to the directory. */
    readonly directoryUpdater: DirectoryUpdater;
    /** Finds out which software version began a stream. */
    readonly streamVersions: StreamVersions;
    readonly #eraWitness: EraWitness;

    /**
     * @param options Dependencies.
     */
    constructor(options: StoreReadingOptions) {
        const { store, replica, settings, isReader, logger } = options;
        this.#eraWitness = new EraWitness({
            key: ERA_WITNESS_KEY,
            isFirstStart: settings().firstStart,
            isWriter: isReader,
            isTrusted: () => !this.directoryUpdater.isCopyInDoubt,
            store,
            replica,
            logger,
        });
        this.directoryUpdater = new DirectoryUpdater({
            ...options,
            bounds: () => settings().bounds,
            isTrustedEra: era => this.#eraWitness.confirms(era),
        });
        this.streamVersions = new StreamVersions({
            ...options,
            self: settings().name,
            isFirstStart: settings().firstStart,
            isWriter: isReader,
            directoryAge: () => this.directoryUpdater.age,
        });
    }

    /** Begins to write what outlives the instances. */
    start(): void {
        this.#eraWitness.start();
        this.streamVersions.start();
    }

    /**
     * Stops writing and cancels delayed removals.
     *
     * @returns A promise that resolves once the last write has ended.
     */
    async close(): Promise<void> {
        this.directoryUpdater.close();
        await Promise.all([this.#eraWitness.close(), this.streamVersions.close()]);
    }
}
