/** Measures how the cost of each component grows with its size, and the overhead of the router. */
export { measureCapacity } from "./measure_capacity.ts";
export { measureFleetCost } from "./measure_fleet_cost.ts";
export { measureInputCost } from "./measure_input_cost.ts";
export { measureOnceOnlyRate } from "./measure_once_only_rate.ts";
export { measureOverhead } from "./measure_overhead.ts";
export { runPassThrough } from "./run_pass_through.ts";
