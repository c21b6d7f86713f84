import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Largest delay before a retry, as a fraction of the caller's remaining time. */
const MAXIMUM_RETRY_DELAY_FRACTION = 1 / 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** The parts of a request that its refusal needs. */
interface RefusedRequest {
    id: string;
    receivedAt: number;
    callerDeadline: number;
    route?: { name: string; };
    response: import("node:http").ServerResponse;
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
        status: refusal.status,
        reason: refusal.reason,
        verdict: refusal.verdict,
        cause: refusal.message,
        afterMilliseconds: Math.round(now - request.receivedAt),
        ...context.directoryUpdater.logFields(),
    });
    if (response.headersSent || response.destroyed) {
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
    response.end(body);
}
