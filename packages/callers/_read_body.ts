import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { Refusal } from "../verdicts/mod.ts";

/** Bytes above the limit that are read and dropped, so that the caller gets the refusal instead of a reset. */
const DISCARDED_BYTES = 16 * 1_024 * 1_024;

/** Reads a request's body up to a limit. */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, Refusal>> {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > maximumBytes + DISCARDED_BYTES) {
        return err(tooLarge(maximumBytes));
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
    return length > maximumBytes ? err(tooLarge(maximumBytes)) : ok(Buffer.concat(chunks));
}

function tooLarge(maximumBytes: number): Refusal {
    return new Refusal(413, "body-too-large", "not-run", `The body is longer than ${maximumBytes} bytes`);
}
