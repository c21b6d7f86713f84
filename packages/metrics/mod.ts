/** Counters, gauges and latency histograms in the Prometheus text exposition format. */
export { Metrics } from "./metrics.ts";
export { ObserverGuard } from "./observer_guard.ts";
export { registerProcessGauges } from "./register_process_gauges.ts";
