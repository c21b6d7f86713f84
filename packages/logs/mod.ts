/** Structured logging as JSON lines. */
export { createLogger } from "./create_logger.ts";
export type { Logger } from "./logger.ts";
