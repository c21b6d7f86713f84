import type { GatewaySettings } from "./gateway_settings.ts";

/** Fraction of the retry slack that is used; the rest covers callers' own retries while an instance restarts. */
const USED_RETRY_SLACK_FRACTION = 0.8;
const MILLISECONDS_PER_SECOND = 1_000;

/** Computes the retries that all instances may make: per request, in addition, and the window in milliseconds. */
export function computeRetryLimit(
    { retryRatio, retrySlack, retryWindowSeconds }: GatewaySettings["bounds"],
): { ratio: number; slack: number; windowMilliseconds: number; } {
    return {
        ratio: retryRatio,
        slack: retrySlack * USED_RETRY_SLACK_FRACTION,
        windowMilliseconds: retryWindowSeconds * MILLISECONDS_PER_SECOND,
    };
}
