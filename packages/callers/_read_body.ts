import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { PieceCollector, watchSlowBody } from "../memory/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { DISCARDED_BYTES } from "./_discarded_bytes.ts";
import { memoryFull } from "./_memory_full.ts";

/**
 * Reads the body of a request; a body longer than `maximumBytes` is refused, and one that `tryGrow` finds no room for.
 *
 * @param tryGrow Reserves memory for a part of a body whose length is not declared.
 * @param hasRoom Tells whether there is memory for another request; without it, a body that takes long is refused.
 */
export async function readBody(
    request: IncomingMessage,
    maximumBytes: number,
    tryGrow: (bytes: number) => boolean,
    hasRoom: () => boolean,
): Promise<Result<Buffer, Refusal>> {
    const declared = request.headers["content-length"];
    if (Number(declared ?? 0) > maximumBytes + DISCARDED_BYTES) {
        return err(bodyTooLarge(maximumBytes));
    }
    const pieces = new PieceCollector();
    const slow = new AbortController();
    const endWatch = watchSlowBody(hasRoom, () => slow.abort());
    const refused = new Promise<Result<Buffer, Refusal>>(resolve => {
        slow.signal.addEventListener("abort", () => {
            pieces.clear();
            resolve(err(memoryFull()));
        });
    });
    return await Promise.race([refused, collect(request, pieces, maximumBytes, slow.signal, tryGrow)])
        .finally(endWatch);
}

/** Reads a body to its end; what arrives after the signal has aborted is discarded. */
async function collect(
    request: IncomingMessage,
    pieces: PieceCollector,
    maximumBytes: number,
    signal: AbortSignal,
    tryGrow: (bytes: number) => boolean,
): Promise<Result<Buffer, Refusal>> {
    const isDeclared = request.headers["content-length"] !== undefined;
    let length = 0;
    try {
        for await (const chunk of request.iterator({ destroyOnReturn: false })) {
            const { length: chunkBytes } = chunk as Buffer;
            length += chunkBytes;
            if (length <= maximumBytes && !signal.aborted) {
                if (!isDeclared && !tryGrow(chunkBytes)) {
                    return err(memoryFull());
                }
                pieces.append(chunk as Buffer);
                continue;
            }
            pieces.clear();
            if (length > maximumBytes + DISCARDED_BYTES) {
                break;
            }
        }
    }
    catch {
        return err(new Refusal(400, "caller-gone", "not-run", "The request was cut"));
    }
    return length > maximumBytes ? err(bodyTooLarge(maximumBytes)) : ok(pieces.concat());
}

function bodyTooLarge(maximumBytes: number): Refusal {
    return new Refusal(413, "body-too-large", "not-run", `The body is longer than ${maximumBytes} bytes`);
}
