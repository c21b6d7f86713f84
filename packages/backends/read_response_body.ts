import type { BackendResponse } from "./backend_response.ts";
import { isResponseComplete } from "./is_response_complete.ts";

/**
 * Reads the whole body of an answer.
 *
 * @param answer The answer.
 * @param timeoutMilliseconds Time allowed; the connection is closed afterwards.
 * @param maximumBytes Longest body accepted.
 * @returns The body, or undefined if it broke off, took too long or was too long.
 * @example
 * ```ts
 * const body = await readAnswerBody(answer, 1_000, 65_536);
 * ```
 */
export function readResponseBody(
    answer: BackendResponse,
    timeoutMilliseconds: number,
    maximumBytes: number,
): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let length = 0;
        const finish = (body: Buffer | undefined) => {
            clearTimeout(timer);
            if (body === undefined) {
                answer.close();
            }
            resolve(body);
        };
        const timer = setTimeout(() => finish(undefined), timeoutMilliseconds);
        answer.body.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > maximumBytes) {
                finish(undefined);
                return;
            }
            chunks.push(chunk);
        });
        answer.body.on("end", () => finish(isResponseComplete(answer) ? Buffer.concat(chunks) : undefined));
        answer.body.on("close", () => finish(isResponseComplete(answer) ? Buffer.concat(chunks) : undefined));
    });
}
