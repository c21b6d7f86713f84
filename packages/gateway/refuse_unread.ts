import { CONNECTIONS_REFUSAL } from "./_connections_refusal.ts";
import { givenUpRefusal } from "./_given_up_refusal.ts";
import { MEMORY_REFUSAL } from "./_memory_refusal.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { sendRefusal } from "./send_refusal.ts";

/**
 * Refuses a request whose body was not read to its end, or that was given up before it was passed on.
 *
 * @param request The request.
 * @param cause Why it was not passed on.
 * @param context Shared objects of the gateway.
 * @example
 * ```ts
 * refuseUnread(request, "memory-full", context);
 * ```
 */
export function refuseUnread(
    request: Parameters<typeof sendRefusal>[0],
    cause: "too-large" | "memory-full" | "too-many-connections" | "given-up",
    context: GatewayContext,
): void {
    const verdict = "not-run";
    if (cause === "memory-full") {
        sendRefusal(request, MEMORY_REFUSAL, context);
        return;
    }
    if (cause === "too-many-connections") {
        request.response.shouldKeepAlive = false;
        sendRefusal(request, CONNECTIONS_REFUSAL, context);
        return;
    }
    if (cause === "too-large") {
        request.response.shouldKeepAlive = false;
        const message = "The body is too large";
        sendRefusal(request, { status: 413, reason: "body-too-large", verdict, message }, context);
        return;
    }
    sendRefusal(request, givenUpRefusal(request.signal), context);
}
