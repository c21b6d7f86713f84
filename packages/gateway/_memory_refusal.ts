import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Refusal of a request for which there is no memory; it may have it after the delay. */
export const MEMORY_REFUSAL: GatewayRefusal = {
    status: 503,
    reason: "memory-full",
    verdict: "not-run",
    message: "Requests and answers under way hold all memory",
    retryAfterMilliseconds: 500,
};
