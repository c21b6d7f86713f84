import { err, ok, type Result } from "neverthrow";
import { computeRequestCost } from "./_compute_request_cost.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { RateLimitCharge } from "./rate_limit_charge.ts";
import type { RateLimiterOptions } from "./rate_limiter_options.ts";
import { SharedUsage } from "./shared_usage.ts";

/** Fractions of the permitted excess that are used; the rest covers what peers admit until their reports arrive. */
const USED_EXCESS_FRACTION = 0.7;
const USED_SLACK_FRACTION = 0.7;
const MILLISECONDS_PER_SECOND = 1_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Enforces the rate limits of organisations across all instances.
 *
 * @example
 * ```ts
 * const limiter = new RateLimiter(options);
 * const charge = limiter.charge(request);
 * charge.map(({ refund }) => refund()); // if no server ran the request
 * ```
 */
export class RateLimiter extends SharedUsage {
    /**
     * @param limits Dependencies, the window and the permitted excess.
     */
    constructor(private readonly limits: RateLimiterOptions) {
        super(limits);
    }

    /**
     * Charges a request to its organisation.
     *
     * @param request The request.
     * @returns The charge, or a refusal if the request exceeds the limit.
     */
    charge(request: GatewayRequest): Result<RateLimitCharge, GatewayRefusal> {
        const { organisation } = request;
        if (!organisation || organisation.ratePerSecond <= 0) {
            return ok({ refund: () => {} });
        }
        const cost = computeRequestCost(organisation, request);
        const { excess, slack, windowMilliseconds, instanceCount } = this.limits;
        this.ask(organisation.name, cost);
        const limit = organisation.ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND + organisation.burst;
        const others = this.usageOfOthers(organisation.name, limit);
        // The parts of a partitioned fleet, and an instance that has just started, each use only their part of the excess.
        const heardFraction = 1 - others.missing / instanceCount();
        const allowed = limit + (limit * excess * USED_EXCESS_FRACTION + slack * USED_SLACK_FRACTION) * heardFraction;
        const spent = this.sum(organisation.name) + others.spent;
        if (spent + cost > allowed) {
            return err({
                status: 429,
                reason: "over-limit",
                verdict: "not-run",
                message: `Organisation ${organisation.name} is over its limit: ${Math.round(spent)} of ${
                    Math.round(allowed)
                }`,
                retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
            });
        }
        return ok({ refund: this.add(organisation.name, cost) });
    }
}
