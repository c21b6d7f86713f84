/** Test oracles: checks of guarantees, made from the traces of the stand-ins and from what callers saw. */
export { checkCompletions } from "./check_completions.ts";
export { checkLimits } from "./check_limits.ts";
export { checkNotRun } from "./check_not_run.ts";
export { checkOnceOnly } from "./check_once_only.ts";
export type { CheckResult } from "./check_result.ts";
export type { EngineTrace } from "./engine_trace.ts";
export type { ObservedCall } from "./observed_call.ts";
export type { ServiceTrace } from "./service_trace.ts";
