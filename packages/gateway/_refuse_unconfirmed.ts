import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Delay in milliseconds after which a caller may retry while the configuration is missing or stale. */
const RETRY_AFTER_MILLISECONDS = 500;

/** Creates the refusal of a request that cannot be judged by what is known of the configuration now. */
export function refuseUnconfirmed(reason: "not-configured" | "configuration-stale", message: string): GatewayRefusal {
    return { status: 503, reason, verdict: "not-run", message, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
}
