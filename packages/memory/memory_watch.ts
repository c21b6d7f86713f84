import { getHeapStatistics } from "node:v8";
import type { Logger } from "../logs/mod.ts";
import type { ObserverGuard } from "../metrics/mod.ts";

/** Share of a limit from which its memory is reported. */
const WARNING_SHARE = 0.9;
/** Share of a limit below which the next rise is reported again. */
const NORMAL_SHARE = 0.8;
const CHECK_MILLISECONDS = 1_000;

/** Memory of a process and its limits in bytes. */
interface ProcessMemory {
    /** Undefined if it cannot be read. */
    residentBytes: number | undefined;
    residentLimitBytes: number;
    heapBytes: number;
    heapLimitBytes: number;
}

/**
 * Logs when the resident memory or the JavaScript heap of this process comes near its limit.
 *
 * @example
 * ```ts
 * const watch = new MemoryWatch(209_715_200, logger, new ObserverGuard(metrics, logger));
 * watch.close();
 * ```
 */
export class MemoryWatch {
    readonly #near = new Set<string>();
    readonly #timer: NodeJS.Timeout;

    /**
     * @param limitBytes Memory limit of the process in bytes.
     * @param logger Gets a line for each rise.
     * @param guard Runs the checks.
     * @param read Reads the memory. Default: that of this process.
     */
    constructor(
        limitBytes: number,
        private readonly logger: Logger,
        private readonly guard: ObserverGuard,
        private readonly read: () => ProcessMemory = () => readProcessMemory(limitBytes, guard),
    ) {
        this.#timer = setInterval(() => this.check(), CHECK_MILLISECONDS);
        this.#timer.unref();
    }

    /** Compares the memory with its limits. Does not throw. */
    check(): void {
        this.guard.run("memory_watch", () => this.#check());
    }

    /** Ends the watch. */
    close(): void {
        clearInterval(this.#timer);
    }

    #check(): void {
        const memory = this.read();
        this.#compare("resident", memory.residentBytes, memory.residentLimitBytes, memory);
        this.#compare("heap", memory.heapBytes, memory.heapLimitBytes, memory);
    }

    #compare(kind: string, bytes: number | undefined, limitBytes: number, memory: ProcessMemory): void {
        if (bytes === undefined) {
            return;
        }
        if (bytes < limitBytes * NORMAL_SHARE) {
            this.#near.delete(kind);
        }
        else if (bytes > limitBytes * WARNING_SHARE && !this.#near.has(kind)) {
            this.#near.add(kind);
            this.logger.warn("memory is near its limit", { kind, ...memory });
        }
    }
}

function readProcessMemory(residentLimitBytes: number, guard: ObserverGuard): ProcessMemory {
    const heap = getHeapStatistics();
    return {
        residentBytes: guard.run("resident_memory", () => process.memoryUsage.rss()),
        residentLimitBytes,
        heapBytes: heap.used_heap_size,
        heapLimitBytes: heap.heap_size_limit,
    };
}
