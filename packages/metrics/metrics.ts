import type { Histogram } from "hdr-histogram-js";
// The library's index also loads a writer of logs, whose number format takes longer to load than all else that is used.
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";
import type { Logger } from "../logs/mod.ts";
import { ObserverGuard } from "./observer_guard.ts";

type Labels = Record<string, string>;

const HIGHEST_TRACKABLE_MICROSECONDS = 3_600_000_000;
const QUANTILES = [50, 90, 95, 99, 99.9];

/**
 * Registry of the metrics of one instance. A gauge that cannot be read is left out, and counted by
 * `observer_failures_total`.
 *
 * @example
 * ```ts
 * const metrics = new Metrics();
 * metrics.increment("refusals_total", { reason: "rate-limited" });
 * metrics.render(); // 'laburnumslip_refusals_total{reason="rate-limited"} 1\n'
 * ```
 */
export class Metrics {
    readonly #counters = new Map<string, number>();
    readonly #gauges = new Map<string, () => number>();
    readonly #histograms = new Map<string, Histogram>();
    readonly #guard: ObserverGuard;

    /**
     * @param logger Gets a line for each cause for which a gauge cannot be read. Default: none is written.
     */
    constructor(logger?: Logger) {
        this.#guard = new ObserverGuard(this, logger);
    }

    /**
     * Adds to a counter.
     *
     * @param name Name without the prefix `laburnumslip_`, ending in `_total`.
     * @param labels Labels, each with a bounded set of values.
     * @param amount Amount to add.
     */
    increment(name: string, labels: Labels = {}, amount = 1): void {
        this.counter(name, labels)(amount);
    }

    /**
     * Returns a function that adds to one counter, for places that count often: the series is formatted only once.
     *
     * @param name Name without the prefix `laburnumslip_`, ending in `_total`.
     * @param labels Labels, each with a bounded set of values.
     * @returns The function, which takes the amount to add; 1 by default.
     * @example
     * ```ts
     * const countSent = metrics.counter("control_messages_total", { direction: "sent" });
     * countSent();
     * ```
     */
    counter(name: string, labels: Labels = {}): (amount?: number) => void {
        const key = formatSeries(name, labels);
        return (amount = 1) => this.#counters.set(key, (this.#counters.get(key) ?? 0) + amount);
    }

    /**
     * Reads a counter.
     *
     * @param name Name without the prefix `laburnumslip_`.
     * @param labels Labels of the counter.
     * @returns The value; 0 if it was never incremented.
     */
    count(name: string, labels: Labels = {}): number {
        return this.#counters.get(formatSeries(name, labels)) ?? 0;
    }

    /**
     * Registers a gauge, which is read each time the metrics are rendered.
     *
     * @param name Name without the prefix `laburnumslip_`.
     * @param read Returns the current value.
     * @param labels Labels, each with a bounded set of values.
     */
    gauge(name: string, read: () => number, labels: Labels = {}): void {
        this.#gauges.set(formatSeries(name, labels), read);
    }

    /**
     * Records a duration.
     *
     * @param name Name without the prefix `laburnumslip_` and the unit.
     * @param milliseconds The duration.
     */
    observe(name: string, milliseconds: number): void {
        const histogram = this.#histograms.get(name) ?? build({
            highestTrackableValue: HIGHEST_TRACKABLE_MICROSECONDS,
            numberOfSignificantValueDigits: 2,
        });
        this.#histograms.set(name, histogram);
        const microseconds = Math.round(Math.max(0, milliseconds) * 1_000);
        this.#guard.run(name, () => histogram.recordValue(Math.min(microseconds, HIGHEST_TRACKABLE_MICROSECONDS)));
    }

    /**
     * Renders all metrics.
     *
     * @returns The metrics in the Prometheus text exposition format.
     */
    render(): string {
        const lines: string[] = [];
        for (const [series, read] of this.#gauges) {
            const value = this.#guard.run(series.replace(/{.*/, ""), read);
            if (value !== undefined) {
                lines.push(`laburnumslip_${series} ${value}`);
            }
        }
        // After the gauges, whose failures count.
        for (const [series, value] of this.#counters) {
            lines.push(`laburnumslip_${series} ${value}`);
        }
        for (const [name, histogram] of this.#histograms) {
            lines.push(...renderHistogram(name, histogram));
        }
        return `${lines.join("\n")}\n`;
    }
}

function renderHistogram(name: string, histogram: Histogram): string[] {
    const lines = QUANTILES.map(quantile => {
        const seconds = histogram.getValueAtPercentile(quantile) / 1_000_000;
        return `laburnumslip_${name}_seconds{quantile="${quantile / 100}"} ${seconds}`;
    });
    lines.push(`laburnumslip_${name}_seconds_count ${histogram.totalCount}`);
    return lines;
}

function formatSeries(name: string, labels: Labels): string {
    const pairs = Object.entries(labels).map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, "_")}"`);
    return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}
