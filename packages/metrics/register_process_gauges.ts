import { getHeapStatistics } from "node:v8";
import { UncaughtErrors } from "../processes/mod.ts";
import type { Metrics } from "./metrics.ts";

const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * Registers gauges of the memory in bytes and the processor time in seconds that this process uses, and of the errors that
 * nobody has caught in it.
 *
 * @param metrics The metrics that get the gauges.
 * @example
 * ```ts
 * registerProcessGauges(metrics);
 * ```
 */
export function registerProcessGauges(metrics: Metrics): void {
    metrics.gauge("resident_memory_bytes", () => process.memoryUsage.rss());
    metrics.gauge("heap_used_bytes", () => getHeapStatistics().used_heap_size);
    metrics.gauge("uncaught_errors_total", () => UncaughtErrors.count);
    metrics.gauge("processor_seconds_total", () => {
        const { user, system } = process.cpuUsage();
        return (user + system) / MICROSECONDS_PER_SECOND;
    });
}
