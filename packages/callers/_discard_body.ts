import type { IncomingMessage } from "node:http";
import { DISCARDED_BYTES } from "./_discarded_bytes.ts";

/** Discards the rest of a body, so that the caller gets a refusal that was sent before it, not a reset. */
export function discardBody(request: IncomingMessage): void {
    let length = 0;
    request.on("error", () => {});
    request.resume();
    request.on("data", (chunk: Buffer) => {
        length += chunk.length;
        if (length > DISCARDED_BYTES) {
            request.destroy();
        }
    });
}
