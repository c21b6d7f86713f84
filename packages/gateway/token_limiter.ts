import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { OrganisationProfile } from "../directory/mod.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";

/** Tokens of one organisation that this instance may spend. */
interface Bucket {
    level: number;
    at: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Keeps organisations within their limits, as this instance's share of a limit on all instances together.
 *
 * @example
 * ```ts
 * const limiter = new TokenLimiter(() => 3);
 * const refusal = limiter.charge(request);
 * ```
 */
export class TokenLimiter {
    readonly #buckets = new Map<string, Bucket>();

    /**
     * @param instanceCount Returns the number of instances that share the limits.
     */
    constructor(private readonly instanceCount: () => number) {}

    /**
     * Charges a request to its organisation.
     *
     * @param request The request.
     * @returns The refusal, or undefined if the request is within the limit.
     */
    charge(request: GatewayRequest): GatewayRefusal | undefined {
        const { organisation } = request;
        if (!organisation || organisation.ratePerSecond <= 0) {
            return undefined;
        }
        const cost = costOf(organisation, request);
        const rate = organisation.ratePerSecond / this.instanceCount();
        const burst = Math.max(cost, organisation.burst / this.instanceCount());
        const now = monotonicMilliseconds();
        const bucket = this.#buckets.get(organisation.name) ?? { level: burst, at: now };
        bucket.level = Math.min(burst, bucket.level + rate * (now - bucket.at) / MILLISECONDS_PER_SECOND);
        bucket.at = now;
        this.#buckets.set(organisation.name, bucket);
        if (bucket.level < cost) {
            return {
                status: 429,
                reason: "over-limit",
                verdict: "not-run",
                message: `Organisation ${organisation.name} is over its limit`,
                retryAfterMilliseconds: MILLISECONDS_PER_SECOND * (cost - bucket.level) / rate,
            };
        }
        bucket.level -= cost;
        return undefined;
    }
}

function costOf(organisation: OrganisationProfile, request: GatewayRequest): number {
    if (!organisation.countsTokens) {
        return 1;
    }
    const tokens = request.promptTokens + request.outputTokens;
    return tokens > 0 ? tokens : organisation.plainTokens;
}
