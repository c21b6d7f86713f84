import type { CoordinationStore } from "../coordination/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { formatBatch } from "./_format_batch.ts";
import type { OriginBatch } from "./_origin_batch.ts";
import { parseBatch } from "./_parse_batch.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import type { StreamOrigins } from "./stream_origins.ts";

const KEY_PREFIX = "laburnumslip/streams/";
/** Length in milliseconds of the period whose streams share an item of the store. */
const PERIOD_MILLISECONDS = 8_000;
/** Number of items of an instance; the oldest one is written over. */
const ITEMS = 8;
/** Largest number of streams in an item; beyond it, the oldest are left out. */
const MAXIMUM_STREAMS = 256;

/** Dependencies of {@linkcode StreamLedger}. */
interface StreamLedgerOptions {
    /** Name of this instance. */
    self: string;
    origins: StreamOrigins;
    replica: Pick<ItemReplica, "getStored" | "isFilled" | "onChange" | "onEraChange">;
    store: Pick<CoordinationStore, "write">;
    metrics: Metrics;
    logger: Logger;
    /** Returns the Unix time in milliseconds. Default: that of the machine. */
    unixTime?: () => number;
}

/**
 * Records in the store which software version began which stream, many streams with one write, and reads what all instances
 * have recorded. Each instance has a few items that it writes over in turn, so that nobody needs to remove any.
 *
 * @example
 * ```ts
 * const ledger = new StreamLedger(options);
 * await ledger.record(new Set(["models"]));
 * ```
 */
export class StreamLedger {
    /** What was written last. */
    #last: OriginBatch | undefined;

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: StreamLedgerOptions) {
        const { replica, origins } = options;
        replica.onEraChange(() => origins.markLost());
        replica.onChange(change => {
            if (change.kind === "written" && change.item.key.startsWith(KEY_PREFIX)) {
                const batch = parseBatch(change.item.value);
                if (batch) {
                    origins.learn(batch.origins, change.item.era, batch.isIdentified);
                }
            }
        });
    }

    /**
     * Records the streams that have begun at this instance since the last call.
     *
     * @param services Names of the services whose streams are recorded.
     * @returns Whether the write succeeded; streams of one that failed are recorded at the next call.
     */
    async record(services: ReadonlySet<string>): Promise<boolean> {
        const { self, origins, replica, store, metrics, logger, unixTime = Date.now } = this.options;
        if (services.size === 0 || !replica.isFilled) {
            return true;
        }
        const added = origins.unrecorded(services);
        if (added.size === 0) {
            return true;
        }
        const period = Math.floor(unixTime() / PERIOD_MILLISECONDS);
        const key = `${KEY_PREFIX}${self}/${period % ITEMS}`;
        const batch = {
            period,
            isIdentified: true,
            origins: new Map([...this.#recorded(key, period), ...added].slice(-MAXIMUM_STREAMS)),
        };
        const written = await store.write([{ key, value: formatBatch(batch) }]);
        const outcome = written.isOk() ? written.value.kind : written.error.message;
        metrics.increment("stream_records_total", { result: outcome === "stored" ? "stored" : "failed" });
        if (outcome !== "stored") {
            logger.warn("streams not recorded", { streams: added.size, outcome });
            return false;
        }
        this.#last = batch;
        origins.markRecorded(added.keys());
        logger.info("streams recorded", { streams: added.size, inItem: batch.origins.size, period });
        return true;
    }

    /** Streams of a period that an item holds: those of this process, or of the one before it. */
    #recorded(key: string, period: number): ReadonlyMap<string, StreamOrigin> {
        const last = this.#last ?? parseBatch(this.options.replica.getStored(key)?.value);
        // What a former build has recorded is not vouched for.
        return last?.period === period && last.isIdentified ? last.origins : new Map<string, StreamOrigin>();
    }
}
