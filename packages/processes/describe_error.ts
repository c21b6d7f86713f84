import { inspect } from "node:util";

/**
 * Describes what was thrown. Anything may be thrown, so nothing is assumed of it.
 *
 * @param error What was thrown.
 * @returns Its stack or message, or a rendering of a value that is no error.
 * @example
 * ```ts
 * describeError(new Error("full")); // "Error: full\n    at …"
 * ```
 */
export function describeError(error: unknown): string {
    return error instanceof Error ? String(error.stack ?? error.message) : inspect(error);
}
