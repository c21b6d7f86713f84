import type { ServerResponse } from "node:http";
import type { Refusal } from "../verdicts/mod.ts";
import { discardBody } from "./_discard_body.ts";

/** Sends a refusal as the response; closes the connection if a response has already begun. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const body = JSON.stringify(refusal.toBody());
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
    };
    if (refusal.retryAfterSeconds !== undefined) {
        headers["retry-after"] = String(refusal.retryAfterSeconds);
    }
    response.writeHead(refusal.status, headers);
    if (refusal.reason === "too-many-connections" && !response.req.complete) {
        // The close of a connection on which bytes still arrive would reset it, and the caller could lose the refusal.
        response.write(body);
        discardBody(response.req);
        response.req.once("close", () => response.end());
        return;
    }
    response.end(body);
}
