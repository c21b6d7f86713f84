import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Time in milliseconds after which a retry may succeed; a block lasts as long as its part is requested. */
const RETRY_AFTER_MILLISECONDS = 60_000;

/**
 * Creates the refusal of a request that was not sent, since a part of its prompt crashes servers.
 *
 * @returns The refusal.
 * @example
 * ```ts
 * sendRefusal(request, refuseBlockedPart(), context);
 * ```
 */
export function refuseBlockedPart(): GatewayRefusal {
    return {
        status: 503,
        reason: "prompt-part-crashes-servers",
        verdict: "not-run",
        message: "Servers crash when they run requests with a part of this prompt",
        retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    };
}
