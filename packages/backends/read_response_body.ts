import { containsSecondAnswer } from "./_contains_second_answer.ts";
import type { BackendResponse } from "./backend_response.ts";
import { isResponseComplete } from "./is_response_complete.ts";

/**
 * Reads the whole body of a response.
 *
 * @param response The response.
 * @param timeoutMilliseconds Time allowed for the body.
 * @param maximumBytes Largest accepted body.
 * @returns The body; undefined if it was incomplete, late or too large, or if another response begins in it; then the
 *     connection is closed.
 * @example
 * ```ts
 * const body = await readResponseBody(response, 1_000, 65_536);
 * ```
 */
export function readResponseBody(
    response: BackendResponse,
    timeoutMilliseconds: number,
    maximumBytes: number,
): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let length = 0;
        const finish = (body: Buffer | undefined) => {
            clearTimeout(timer);
            if (body === undefined) {
                response.close();
            }
            resolve(body);
        };
        const timer = setTimeout(() => finish(undefined), timeoutMilliseconds);
        response.body.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > maximumBytes) {
                finish(undefined);
                return;
            }
            chunks.push(chunk);
        });
        const end = () => {
            const body = Buffer.concat(chunks);
            finish(isResponseComplete(response) && !containsSecondAnswer(response, body) ? body : undefined);
        };
        response.body.on("end", end);
        response.body.on("close", end);
    });
}
