import { containsSecondAnswer } from "./_contains_second_answer.ts";
import type { BackendResponse } from "./backend_response.ts";
import { isResponseComplete } from "./is_response_complete.ts";

/**
 * Returns whether a body is the whole of its response, and not filled up with the beginning of another one.
 *
 * @param response The response, after its body has ended.
 * @param pieces All bytes of the body.
 * @returns Whether the body is whole.
 * @example
 * ```ts
 * response.body.on("end", () => isWholeBody(response, chunks));
 * ```
 */
export function isWholeBody(response: BackendResponse, pieces: readonly Buffer[]): boolean {
    return isResponseComplete(response) && !containsSecondAnswer(response, pieces);
}
