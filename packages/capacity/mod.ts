/** Measures how each role's cost grows with its size, and the router's own overhead. */
export { measureCapacity } from "./measure_capacity.ts";
export { measureFleet } from "./measure_fleet.ts";
export { measureOnceOnly } from "./measure_once_only.ts";
export { measureOverhead } from "./measure_overhead.ts";
export { runPassThrough } from "./run_pass_through.ts";
