import type { BackendResponse } from "./backend_response.ts";

/**
 * Returns whether the whole body of a response has arrived. A body without a length ends with its connection. If the
 * connection was reset or closed by this side, the HTTP parser reports such a body as complete although it may be truncated.
 *
 * @param response The response, after its body has ended.
 * @returns Whether the body is complete.
 * @example
 * ```ts
 * response.body.on("end", () => isResponseComplete(response));
 * ```
 */
export function isResponseComplete(response: BackendResponse): boolean {
    return response.body.complete && !response.wasReset();
}
