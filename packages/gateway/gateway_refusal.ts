import type { Verdict } from "../verdicts/mod.ts";
import type { GatewayRefusalReason } from "./gateway_refusal_reason.ts";

/** The final answer to a request that the router itself ends. */
export interface GatewayRefusal {
    status: number;
    reason: GatewayRefusalReason;
    verdict: Verdict;
    message: string;
    /** Time in milliseconds after which a retry may succeed. */
    retryAfterMilliseconds?: number;
}
