import type { BackendResponse } from "./backend_response.ts";
import type { BodyMemory } from "./body_memory.ts";
import { readResponsePieces } from "./read_response_pieces.ts";

/**
 * Reads the whole body of a response into one buffer. A long body is held twice while it is joined;
 * {@linkcode readResponsePieces} spares that.
 *
 * @param response The response.
 * @param timeoutMilliseconds Time allowed for the body.
 * @param maximumBytes Largest accepted body.
 * @param memory Memory for the body; while it has no room, nothing more is read. Default: unbounded.
 * @returns The body; undefined if it was incomplete, late or too large, or if another response begins in it; then the
 *     connection is closed.
 * @example
 * ```ts
 * const body = await readResponseBody(response, 1_000, 65_536);
 * ```
 */
export async function readResponseBody(
    response: BackendResponse,
    timeoutMilliseconds: number,
    maximumBytes: number,
    memory?: BodyMemory,
): Promise<Buffer | undefined> {
    const pieces = await readResponsePieces(response, timeoutMilliseconds, maximumBytes, memory);
    return pieces && Buffer.concat(pieces);
}
