import type { SharedUsageOptions } from "./shared_usage_options.ts";

/** Dependencies of a {@linkcode RateLimiter}. */
export interface RateLimiterOptions extends SharedUsageOptions {
    /** Fraction of the limit by which it may be exceeded. */
    excess: number;
    /** Units by which the limit may be exceeded in addition. */
    slack: number;
}
