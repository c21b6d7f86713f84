import type { IncomingMessage } from "node:http";

/**
 * Returns the value of a header that must not be repeated.
 *
 * @param incoming The request.
 * @param name Name of the header in lower case.
 * @returns The value, or undefined.
 * @example
 * ```ts
 * const id = headerOf(incoming, "x-request-id");
 * ```
 */
export function headerOf(incoming: IncomingMessage, name: string): string | undefined {
    const value = incoming.headers[name];
    return typeof value === "string" ? value : undefined;
}
