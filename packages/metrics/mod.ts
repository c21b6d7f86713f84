/** Counters, gauges and latency histograms in the text exposition format. */
export { Metrics } from "./metrics.ts";
