import type { Verdict } from "../verdicts/mod.ts";
import type { GatewayRefusalReason } from "./gateway_refusal_reason.ts";

/** A response of the router itself to a request that it does not forward or whose forwarding failed. */
export interface GatewayRefusal {
    status: number;
    reason: GatewayRefusalReason;
    verdict: Verdict;
    message: string;
    /** Time in milliseconds after which a retry may succeed. */
    retryAfterMilliseconds?: number;
}
