import type { Metrics } from "../metrics/mod.ts";

const MICROSECONDS_PER_SECOND = 1_000_000;

/** Registers gauges of the memory and the processor time that this process uses. */
export function registerProcessGauges(metrics: Metrics): void {
    metrics.gauge("resident_memory_bytes", () => process.memoryUsage.rss());
    metrics.gauge("processor_seconds_total", () => {
        const { user, system } = process.cpuUsage();
        return (user + system) / MICROSECONDS_PER_SECOND;
    });
}
