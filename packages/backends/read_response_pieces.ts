import { pollConnections } from "../connections/mod.ts";
import { PieceCollector } from "../memory/mod.ts";
import type { BackendResponse } from "./backend_response.ts";
import type { BodyMemory } from "./body_memory.ts";
import { isWholeBody } from "./is_whole_body.ts";

/**
 * Reads the whole body of a response, in the pieces in which it has arrived.
 *
 * @param response The response.
 * @param timeoutMilliseconds Time allowed for the body.
 * @param maximumBytes Largest accepted body.
 * @param memory Memory for the body; while it has no room, nothing more is read. Default: unbounded.
 * @returns The body, of which small pieces are joined; undefined if it was incomplete, late or too large, or if another response begins in it; then the
 *     connection is closed.
 * @example
 * ```ts
 * const pieces = await readResponsePieces(response, 1_000, 65_536);
 * ```
 */
export function readResponsePieces(
    response: BackendResponse,
    timeoutMilliseconds: number,
    maximumBytes: number,
    memory?: BodyMemory,
): Promise<Buffer[] | undefined> {
    return new Promise(resolve => {
        const pieces = new PieceCollector();
        let isWaiting = false;
        let isFinished = false;
        const finish = (body: Buffer[] | undefined) => {
            isFinished = true;
            clearTimeout(timer);
            if (body === undefined) {
                pieces.clear();
                response.close();
            }
            resolve(body);
        };
        const timer = setTimeout(async () => {
            // After a standstill of the process, timers come before what has arrived meanwhile.
            await pollConnections();
            if (!isFinished) {
                finish(undefined);
            }
        }, timeoutMilliseconds);
        response.body.on("data", (chunk: Buffer) => {
            if (pieces.length + chunk.length > maximumBytes) {
                finish(undefined);
                return;
            }
            pieces.append(chunk);
            if (memory && !memory.tryHold(chunk.length, lengthOf(response) - pieces.length)) {
                isWaiting = true;
                response.body.pause();
                // A paused body still takes what one more read of its connection brings.
                const { socket } = response.body;
                socket?.pause();
                void memory.hold(chunk.length).then(hasRoom => {
                    isWaiting = false;
                    if (hasRoom) {
                        socket?.resume();
                        response.body.resume();
                    }
                    else {
                        finish(undefined);
                    }
                });
            }
        });
        const end = () => {
            const body = pieces.take();
            finish(isWholeBody(response, body) ? body : undefined);
        };
        response.body.on("end", end);
        // What has not been read of a body that waits for memory is lost, although it may have arrived as a whole.
        response.body.on("close", () => isWaiting ? finish(undefined) : end());
    });
}

/** Returns the length of a body in bytes; infinity if its head does not tell it. */
function lengthOf({ framing, headers }: BackendResponse): number {
    return framing === "length" ? Number(headers["content-length"]) : Number.POSITIVE_INFINITY;
}
