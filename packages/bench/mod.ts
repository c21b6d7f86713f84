/** Open-loop load experiments that compare placement policies. */
export type { BenchOptions } from "./bench_options.ts";
export type { BenchResult } from "./bench_result.ts";
export { compareResults } from "./compare_results.ts";
export { runBench } from "./run_bench.ts";
export type { Scenario } from "./scenario.ts";
