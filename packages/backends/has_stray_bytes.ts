import type { BackendResponse } from "./backend_response.ts";

const VERSION = "HTTP/1.";

/**
 * Returns whether bytes that are no response have followed the body of a response. Such a server may as well have put
 * them in place of the end of the body.
 *
 * @param response The response, after its body has ended.
 * @returns Whether they have; false if what follows begins like another response.
 * @example
 * ```ts
 * const isDoubtful = hasStrayBytes(response);
 * ```
 */
export function hasStrayBytes(response: BackendResponse): boolean {
    const text = response.trailing().toString("latin1", 0, VERSION.length);
    return text !== "" && !VERSION.startsWith(text);
}
