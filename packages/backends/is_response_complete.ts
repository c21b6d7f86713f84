import type { BackendResponse } from "./backend_response.ts";

/**
 * Tells whether the whole body of an answer has arrived. A body without a length ends with its connection; when the
 * connection was reset, the parser takes it for complete although it is not.
 *
 * @param answer The answer, after its body has ended.
 * @returns Whether it is whole.
 * @example
 * ```ts
 * answer.body.on("end", () => isAnswerComplete(answer));
 * ```
 */
export function isResponseComplete(answer: BackendResponse): boolean {
    return answer.body.complete && !answer.wasReset();
}
