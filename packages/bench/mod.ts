/** Open-loop load experiments that compare placement policies. */
export type { BenchOptions } from "./bench_options.ts";
export type { BenchResult } from "./bench_result.ts";
export { formatComparison } from "./format_comparison.ts";
export { runBench } from "./run_bench.ts";
export type { Scenario } from "./scenario.ts";
