import type { SuspensionAwareClock } from "../clocks/mod.ts";
import { streamKey } from "./_stream_key.ts";
import type { FoundOrigin } from "./found_origin.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** Largest number of remembered streams; the oldest are forgotten first. */
const MAXIMUM_STREAMS = 16_384;

/** What is known of a stream. */
interface KnownStream {
    /** Undefined if records differ. */
    origin: StreamOrigin | undefined;
    /** Time in milliseconds at which it became known. */
    at: number;
    /** Era of the store in which it was read; undefined if it began here. */
    era: number | undefined;
    /** Whether the process that wrote the stream was identified. */
    isIdentified: boolean;
}

/**
 * Remembers which software version began which stream, for a limited time and number of streams.
 *
 * @example
 * ```ts
 * const origins = new StreamOrigins(clock, 60_000);
 * origins.begin("9c41d07b", { service: "models", version: "v2" });
 * origins.find("9c41d07b")?.origin; // { service: "models", version: "v2" }
 * ```
 */
export class StreamOrigins {
    /** Streams by key, oldest first. */
    readonly #streams = new Map<string, KnownStream>();
    /** Streams that began at this instance and that nobody else knows of. */
    readonly #unrecorded = new Map<string, StreamOrigin>();

    /**
     * @param clock Clock that also counts the time in which the machine was suspended.
     * @param lifetimeMilliseconds Time for which a stream is remembered.
     */
    constructor(
        private readonly clock: Pick<SuspensionAwareClock, "now">,
        private readonly lifetimeMilliseconds: number,
    ) {}

    /** Number of remembered streams. */
    get size(): number {
        return this.#streams.size;
    }

    /**
     * Remembers a stream that has begun at this instance.
     *
     * @param id Id of the stream.
     * @param origin What began it.
     */
    begin(id: string, origin: StreamOrigin): void {
        const key = streamKey(id);
        this.#add(key, { origin, era: undefined, isIdentified: true });
        this.#unrecorded.set(key, origin);
    }

    /**
     * Remembers streams that were read from a record. One whose records differ is not known any more: it has begun at two
     * instances, and which of them its caller got events from is in neither record.
     *
     * @param origins The streams by their keys.
     * @param era Era of the store in which the record was read.
     * @param isIdentified Whether the record is of processes that were identified.
     */
    learn(origins: ReadonlyMap<string, StreamOrigin>, era: number, isIdentified: boolean): void {
        for (const [key, origin] of origins) {
            const known = this.#streams.get(key);
            if (!known || isIdentified && !known.isIdentified) {
                this.#add(key, { origin, era, isIdentified });
            }
            else if (known.isIdentified && !isIdentified) {
                // A former build tells the version by the engine's entry alone.
                continue;
            }
            else if (known.origin?.service !== origin.service || known.origin.version !== origin.version) {
                known.origin = undefined;
            }
        }
    }

    /**
     * Returns what began a stream.
     *
     * @param id Id of the stream.
     * @returns Its origin and how it is known; undefined if it is not.
     */
    find(id: string): FoundOrigin | undefined {
        const known = this.#streams.get(streamKey(id));
        return known?.origin && {
            origin: known.origin,
            isIdentified: known.isIdentified,
            source: known.era === undefined ? "begun-here" : "read",
            era: known.era,
            ageMilliseconds: Math.round(this.clock.now() - known.at),
        };
    }

    /**
     * Lists the streams that have not been recorded, oldest first.
     *
     * @param services Names of the services to regard.
     * @returns The streams by their keys.
     */
    unrecorded(services: ReadonlySet<string>): Map<string, StreamOrigin> {
        return new Map([...this.#unrecorded].filter(([, { service }]) => services.has(service)));
    }

    /**
     * Notes that streams have been recorded.
     *
     * @param keys Their keys.
     */
    markRecorded(keys: Iterable<string>): void {
        for (const key of keys) {
            this.#unrecorded.delete(key);
        }
    }

    /** Notes that the records of the streams that began at this instance are lost. */
    markLost(): void {
        for (const [key, { origin, era }] of this.#streams) {
            if (era === undefined && origin) {
                this.#unrecorded.set(key, origin);
            }
        }
    }

    /** Forgets the streams that nobody takes up any more. */
    removeExpired(): void {
        const oldest = this.clock.now() - this.lifetimeMilliseconds;
        for (const [key, { at }] of this.#streams) {
            if (at > oldest) {
                return;
            }
            this.#remove(key);
        }
    }

    #add(key: string, stream: Omit<KnownStream, "at">): void {
        // A stream that begins again moves to the end of the order.
        this.#streams.delete(key);
        this.#streams.set(key, { ...stream, at: this.clock.now() });
        const [oldest] = this.#streams.keys();
        if (this.#streams.size > MAXIMUM_STREAMS && oldest !== undefined) {
            this.#remove(oldest);
        }
    }

    #remove(key: string): void {
        this.#streams.delete(key);
        this.#unrecorded.delete(key);
    }
}
