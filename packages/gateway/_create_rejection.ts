import { CONNECTIONS_REFUSAL } from "./_connections_refusal.ts";
import { MEMORY_REFUSAL } from "./_memory_refusal.ts";
import { TOO_MANY_CONNECTIONS_CODE } from "./_too_many_connections_code.ts";
import type { EndedBy } from "./ended_by.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Answer to bytes that have become no request. */
interface Rejection {
    statusLine: string;
    /** The whole response. */
    response: string;
    by: EndedBy;
    /** Reason of a refusal by the router; undefined if the code of the error tells it. */
    reason: string | undefined;
}

/** Status lines by the code of the error of the HTTP parser or of a timer. */
const STATUS_LINES: Record<string, string> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const DEFAULT_STATUS_LINE = "400 Bad Request";
/** Refusals by the code of the error of the limit of input or of the bound of connections. */
const REFUSALS: Record<string, GatewayRefusal> = {
    ERR_MEMORY_FULL: MEMORY_REFUSAL,
    [TOO_MANY_CONNECTIONS_CODE]: CONNECTIONS_REFUSAL,
};
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the answer to bytes that are no request, were not received in time or are refused unread. */
export function createRejection(code: string): Rejection {
    const refusal = REFUSALS[code];
    if (refusal) {
        return createRefusal(refusal);
    }
    const statusLine = STATUS_LINES[code] ?? DEFAULT_STATUS_LINE;
    const response = `HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    return { statusLine, response, by: code === "ERR_HTTP_REQUEST_TIMEOUT" ? "timer" : "caller", reason: undefined };
}

function createRefusal({ message, reason, retryAfterMilliseconds = 0 }: GatewayRefusal): Rejection {
    const statusLine = "503 Service Unavailable";
    const body = JSON.stringify({ error: { message, type: reason } });
    const retryAfter = (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(3);
    const headers = `Retry-After: ${retryAfter}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}`;
    const response = `HTTP/1.1 ${statusLine}\r\nConnection: close\r\n${headers}\r\n\r\n${body}`;
    return { statusLine, response, by: "router", reason };
}
