/** Ends of a process that keep to its grace period although the event loop turns late, and lines that tell their steps. */
export { endsBy } from "./ends_by.ts";
export { ShutdownLog } from "./shutdown_log.ts";
export { ShutdownSchedule } from "./shutdown_schedule.ts";
export { TurnWatch } from "./turn_watch.ts";
