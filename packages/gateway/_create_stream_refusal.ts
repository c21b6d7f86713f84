import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Time in milliseconds after which a request that has not run may be retried. */
const RETRY_AFTER_MILLISECONDS = 500;

/** Creates the refusal of a model request: 503 if it has not run, else 502. */
export function createStreamRefusal(
    reason: GatewayRefusal["reason"],
    verdict: GatewayRefusal["verdict"],
    message: string,
): GatewayRefusal {
    return verdict === "not-run"
        ? { status: 503, reason, verdict, message, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }
        : { status: 502, reason, verdict, message };
}
