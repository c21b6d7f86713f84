import type { BackendResponse } from "../backends/mod.ts";
import type { AnswerEndState } from "./answer_end_state.ts";

/**
 * Has the end of an answer checked that ends with its connection, from the moment at which the server has ended its side: soon
 * after that, another process may listen at the server's address.
 *
 * @param response The response, whose headers have just arrived.
 * @param confirm Finds out whether the server runs.
 * @returns A function to be called after the end of the body, which returns whether the server has run at its end; always
 *     `"running"` for an answer with a length or in chunks.
 * @example
 * ```ts
 * const findEndState = watchAnswerEnd(response, () => answerEndCheck.confirm(server, service, signal));
 * ```
 */
export function watchAnswerEnd(
    response: BackendResponse,
    confirm: () => Promise<AnswerEndState>,
): () => Promise<AnswerEndState> {
    if (response.framing !== "connection") {
        return () => Promise.resolve("running");
    }
    let state: Promise<AnswerEndState> | undefined;
    response.onInputEnd(() => {
        state ??= confirm();
    });
    return () => state ??= confirm();
}
