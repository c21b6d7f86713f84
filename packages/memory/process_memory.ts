import { getHeapStatistics } from "node:v8";
import type { Logger } from "../logs/mod.ts";
import { type Metrics, ObserverGuard, registerProcessGauges } from "../metrics/mod.ts";
import { computeMemoryCapacity } from "./compute_memory_capacity.ts";
import { MemoryBudget } from "./memory_budget.ts";
import { MemoryWatch } from "./memory_watch.ts";

/**
 * Memory of the process that an instance runs in: the budget of its requests and answers, gauges and warnings.
 *
 * @example
 * ```ts
 * const { budget } = new ProcessMemory(200_000_000, metrics, logger);
 * ```
 */
export class ProcessMemory {
    readonly budget: MemoryBudget;
    readonly #heapLimitBytes = getHeapStatistics().heap_size_limit;
    readonly #watch: MemoryWatch;

    /**
     * @param limitBytes Memory limit of the process in bytes.
     * @param metrics Get the gauges.
     * @param logger Gets a line when memory comes near its limit.
     */
    constructor(private readonly limitBytes: number, metrics: Metrics, logger: Logger) {
        this.budget = new MemoryBudget(computeMemoryCapacity(limitBytes, this.#heapLimitBytes));
        this.#watch = new MemoryWatch(limitBytes, logger, new ObserverGuard(metrics, logger));
        registerProcessGauges(metrics);
        metrics.gauge("memory_budget_bytes", () => this.budget.capacityBytes);
        metrics.gauge("memory_budget_used_bytes", () => this.budget.usedBytes);
    }

    /**
     * Describes the limits for log lines.
     *
     * @returns Limits in bytes by name.
     */
    logFields(): Record<string, number> {
        return {
            memoryLimitBytes: this.limitBytes,
            heapLimitBytes: this.#heapLimitBytes,
            memoryBudgetBytes: this.budget.capacityBytes,
        };
    }

    /** Ends the warnings. */
    close(): void {
        this.#watch.close();
    }
}
