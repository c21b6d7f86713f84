/** Signals to a process, errors that nobody catches, and the log line on its end. Imports no other package, so that it runs before the rest is loaded. */
export { describeError } from "./describe_error.ts";
export { ProcessEnd } from "./process_end.ts";
export { ProcessSignals } from "./process_signals.ts";
export { skipWebAssemblyOptimizer } from "./skip_web_assembly_optimizer.ts";
export { UncaughtErrors } from "./uncaught_errors.ts";
