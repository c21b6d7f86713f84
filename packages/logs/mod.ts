/** Structured logging as JSON lines. */
export { createLogger } from "./create_logger.ts";
export { logFailure } from "./log_failure.ts";
export type { Logger } from "./logger.ts";
