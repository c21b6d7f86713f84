import type { GatewaySettings } from "./gateway_settings.ts";
import { RateLimiter } from "./rate_limiter.ts";
import type { SharedUsageOptions } from "./shared_usage_options.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the rate limiter of organisations with the bounds of the settings. */
export function createRateLimiter(
    usage: Omit<SharedUsageOptions, "windowMilliseconds">,
    bounds: GatewaySettings["bounds"],
): RateLimiter {
    return new RateLimiter({
        ...usage,
        windowMilliseconds: bounds.quotaWindowSeconds * MILLISECONDS_PER_SECOND,
        excess: bounds.quotaExcess,
        slack: bounds.quotaSlack,
    });
}
