/** Time sources and delays. */
export { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
export { PeriodicTask } from "./periodic_task.ts";
export { sleep } from "./sleep.ts";
export { SuspensionAwareClock } from "./suspension_aware_clock.ts";
export { within } from "./within.ts";
