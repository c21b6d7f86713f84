import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Refusal of a request whose connection is beyond the bound; its caller may have one after the delay. */
export const CONNECTIONS_REFUSAL: GatewayRefusal = {
    status: 503,
    reason: "too-many-connections",
    verdict: "not-run",
    message: "Callers hold all connections of the instance",
    retryAfterMilliseconds: 1_000,
};
