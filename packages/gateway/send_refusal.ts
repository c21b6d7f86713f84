import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Part of the caller's remaining time that a retry may be put off. */
const LONGEST_RETRY_SHARE = 1 / 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** The parts of a request that its final answer needs. */
interface EndedRequest {
    id: string;
    receivedAt: number;
    callerDeadline: number;
    route?: { name: string; };
    response: import("node:http").ServerResponse;
}

/**
 * Gives a request its final answer from the router itself; a caller that has received a part of its answer gets none,
 * and its connection is closed.
 *
 * @param request The request.
 * @param refusal Why it is ended.
 * @param services What the gateway works with.
 * @example
 * ```ts
 * endRequest(request, { status: 503, reason: "no-capacity", verdict: "not-run", message: "Try again" }, services);
 * ```
 */
export function sendRefusal(request: EndedRequest, refusal: GatewayRefusal, services: GatewayContext): void {
    const { response } = request;
    const now = monotonicMilliseconds();
    services.metrics.increment("gateway_refusals_total", { reason: refusal.reason, status: String(refusal.status) });
    services.logger.info("request ended by the router", {
        request: request.id,
        route: request.route?.name,
        status: refusal.status,
        reason: refusal.reason,
        verdict: refusal.verdict,
        cause: refusal.message,
        afterMilliseconds: Math.round(now - request.receivedAt),
        ...services.directoryUpdater.logFields(),
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
        headers[services.headers.requestId] = request.id;
    }
    if (refusal.retryAfterMilliseconds !== undefined) {
        const longest = Math.max(0, request.callerDeadline - now) * LONGEST_RETRY_SHARE;
        const wait = Math.min(refusal.retryAfterMilliseconds, longest);
        headers["Retry-After"] = (wait / MILLISECONDS_PER_SECOND).toFixed(3);
    }
    response.writeHead(refusal.status, headers);
    response.end(body);
}
