import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { Refusal } from "../verdicts/mod.ts";

/** Bytes beyond the limit that are still read and discarded, so that the caller gets the refusal, not a reset. */
const DISCARDED_BYTES = 16 * 1_024 * 1_024;

/** Reads the body of a request; a body longer than `maximumBytes` is refused. */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, Refusal>> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > maximumBytes + DISCARDED_BYTES) {
        return err(bodyTooLarge(maximumBytes));
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request) {
            length += (chunk as Buffer).length;
            if (length <= maximumBytes) {
                chunks.push(chunk as Buffer);
            }
            else if (length > maximumBytes + DISCARDED_BYTES) {
                break;
            }
        }
    }
    catch {
        return err(new Refusal(400, "caller-gone", "not-run", "The request was cut"));
    }
    return length > maximumBytes ? err(bodyTooLarge(maximumBytes)) : ok(Buffer.concat(chunks));
}

function bodyTooLarge(maximumBytes: number): Refusal {
    return new Refusal(413, "body-too-large", "not-run", `The body is longer than ${maximumBytes} bytes`);
}
