import type { IncomingMessage } from "node:http";
import type { BodyFraming } from "./body_framing.ts";

/** Statuses of responses that have no body (RFC 9110, section 6.4.1). */
const STATUSES_WITHOUT_BODY: ReadonlySet<number | undefined> = new Set([204, 304]);
/** A body ends with its connection if its last transfer coding is another one. */
const CHUNKED = /(^|,)\s*chunked\s*$/i;

/** Returns what ends the body of a response to a request with that method. */
export function findBodyFraming({ statusCode, headers }: IncomingMessage, method: string): BodyFraming {
    if (method === "HEAD" || STATUSES_WITHOUT_BODY.has(statusCode)) {
        return "none";
    }
    if (CHUNKED.test(headers["transfer-encoding"] ?? "")) {
        return "chunked";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
}
