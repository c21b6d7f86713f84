import { describeError } from "../processes/mod.ts";
import type { Logger } from "./logger.ts";

/**
 * Creates a handler of the errors of work that nobody waits for.
 *
 * @param logger Receives the errors.
 * @param message Message of the log line.
 * @param fields Fields that say what the work was for, such as the id of a request.
 * @returns The handler, which logs an error with its stack.
 * @example
 * ```ts
 * probe(server).catch(logFailure(logger, "probe failed", { server: server.id }));
 * ```
 */
export function logFailure(
    logger: Logger,
    message: string,
    fields: Record<string, unknown> = {},
): (error: unknown) => void {
    return error => logger.error(message, { ...fields, error: describeError(error) });
}
