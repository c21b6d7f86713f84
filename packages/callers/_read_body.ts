import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { Refusal } from "../verdicts/mod.ts";

/** Reads a request's body up to a limit. */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, Refusal>> {
    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > maximumBytes) {
        return err(tooLarge(maximumBytes));
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
            length += (chunk as Buffer).length;
            if (length > maximumBytes) {
                return err(tooLarge(maximumBytes));
            }
        }
    }
    catch {
        return err(new Refusal(400, "caller-gone", "not-run", "The request was cut"));
    }
    return ok(Buffer.concat(chunks));
}

function tooLarge(maximumBytes: number): Refusal {
    return new Refusal(413, "body-too-large", "not-run", `The body is longer than ${maximumBytes} bytes`);
}
