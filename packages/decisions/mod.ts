/** Decisions under load: order of waiting, waits, refusals and returns. No network; times are passed in. */
export { computeEnginePriority } from "./compute_engine_priority.ts";
export { ServiceUrgencies } from "./service_urgencies.ts";
