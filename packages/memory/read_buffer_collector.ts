import { getHeapStatistics } from "node:v8";
import { exposeCollect } from "./_expose_collect.ts";

/** Memory in bytes of read buffers after which those that nothing refers to are freed. */
const COLLECTION_BYTES = 4_194_304;
/** Growth in bytes of the memory outside of the JavaScript heap since the last full collection that leads to another. */
const FULL_COLLECTION_BYTES = 8_388_608;

/** Collects the young generation or all of them. */
type Collect = (options: { type: "minor" | "major"; }) => void;

/**
 * Frees the buffers of reads soon after they were used. Each read of a socket allocates up to 64 KiB outside of the
 * JavaScript heap. The objects that refer to it are small, so the generations fill slowly, and V8 lets 32 MiB of young
 * buffers and 64 MiB of old ones gather before it collects them. Buffers that are still referred to at two collections
 * become old, such as those of bodies that callers send or read slowly.
 *
 * @example
 * ```ts
 * const collector = new ReadBufferCollector();
 * socket.on("data", chunk => collector.count(chunk));
 * ```
 */
export class ReadBufferCollector {
    #bytes = 0;
    /** Least memory outside of the heap since the last full collection. */
    #leastExternalBytes = Infinity;
    #collect: Collect | undefined;

    /**
     * @param collect Collects generations. Default: that of this process.
     * @param readExternalBytes Reads the memory outside of the heap. Default: that of this process.
     */
    constructor(
        collect?: Collect,
        private readonly readExternalBytes = () => getHeapStatistics().external_memory,
    ) {
        this.#collect = collect;
    }

    /**
     * Counts the buffer of a read, and frees those before it when they have become large.
     *
     * @param chunk What was read.
     */
    count(chunk: Buffer): void {
        this.#bytes += chunk.buffer.byteLength;
        if (this.#bytes < COLLECTION_BYTES) {
            return;
        }
        this.#bytes = 0;
        this.#collect ??= exposeCollect();
        this.#collect({ type: "minor" });
        this.#leastExternalBytes = Math.min(this.#leastExternalBytes, this.readExternalBytes());
        if (this.readExternalBytes() - this.#leastExternalBytes >= FULL_COLLECTION_BYTES) {
            this.#collect({ type: "major" });
            this.#leastExternalBytes = this.readExternalBytes();
        }
    }
}
