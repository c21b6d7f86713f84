import type { ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { endRefusal } from "./end_refusal.ts";
import type { EndedBy } from "./ended_by.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { ResumedStream } from "./resumed_stream.ts";

/** Largest delay before a retry, as a fraction of the caller's remaining time. */
const MAXIMUM_RETRY_DELAY_FRACTION = 1 / 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** The parts of a request that its refusal needs. */
interface RefusedRequest {
    id: string;
    receivedAt: number;
    callerDeadline: number;
    route?: { name: string; };
    resumedStream?: ResumedStream;
    response: ServerResponse;
    exchange: CallerExchange;
    /** Aborts with the reason if the request was given up. */
    signal?: AbortSignal;
}

/**
 * Responds to a request with a refusal of the router itself. If a part of another response has been sent already, the
 * connection is closed instead.
 *
 * @param request The request.
 * @param refusal The refusal.
 * @param context Shared objects of the gateway.
 * @example
 * ```ts
 * sendRefusal(request, { status: 503, reason: "no-capacity", verdict: "not-run", message: "Try again" }, context);
 * ```
 */
export function sendRefusal(request: RefusedRequest, refusal: GatewayRefusal, context: GatewayContext): void {
    const { response } = request;
    const now = monotonicMilliseconds();
    context.metrics.increment("gateway_refusals_total", { reason: refusal.reason, status: String(refusal.status) });
    context.logger.info("request ended by the router", {
        request: request.id,
        route: request.route?.name,
        resumes: request.resumedStream?.firstAttempt,
        status: refusal.status,
        reason: refusal.reason,
        verdict: refusal.verdict,
        cause: refusal.message,
        givenUp: request.signal?.aborted ? request.signal.reason : undefined,
        afterMilliseconds: Math.round(now - request.receivedAt),
        ...context.directoryUpdater.logFields(),
    });
    if (response.headersSent || response.destroyed) {
        request.exchange.end ??= { by: endedBy(request, refusal), reason: refusal.reason };
        response.destroy();
        return;
    }
    const body = JSON.stringify({ error: { message: refusal.message, type: refusal.reason } });
    const headers: Record<string, string> = {
        "Content-Type": "application/json",
        "Content-Length": String(Buffer.byteLength(body)),
    };
    if (request.id !== "") {
        headers[context.headers.requestId] = request.id;
    }
    if (refusal.retryAfterMilliseconds !== undefined) {
        const longest = Math.max(0, request.callerDeadline - now) * MAXIMUM_RETRY_DELAY_FRACTION;
        const delay = Math.min(refusal.retryAfterMilliseconds, longest);
        headers["Retry-After"] = (delay / MILLISECONDS_PER_SECOND).toFixed(3);
    }
    response.writeHead(refusal.status, headers);
    endRefusal(response, body, request.exchange);
}

/** Tells who ended a request whose answer had begun. */
function endedBy(request: RefusedRequest, refusal: GatewayRefusal): EndedBy {
    switch (request.signal?.reason) {
        case "caller-gone":
        case "half-closed":
            return "caller";
        case "deadline":
            return "deadline";
        case "shutting-down":
            return "shutdown";
        default:
            return refusal.reason === "backend-failed" ? "server" : "router";
    }
}
