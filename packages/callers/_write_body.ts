import type { ServerResponse } from "node:http";
import { waitForCaller } from "./_wait_for_caller.ts";

/** A caller has to read this much within the time limit. */
const PART_BYTES = 64 * 1_024;

/** Writes a whole body as the caller reads it and ends the response. */
export async function writeBody(response: ServerResponse, body: Buffer): Promise<void> {
    for (let offset = 0; offset + PART_BYTES < body.length && !response.destroyed; offset += PART_BYTES) {
        if (!response.write(body.subarray(offset, offset + PART_BYTES))) {
            await waitForCaller(response, "drain");
        }
    }
    response.end(body.subarray(Math.max(0, Math.ceil(body.length / PART_BYTES) - 1) * PART_BYTES));
}
