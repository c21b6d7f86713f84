import { refuseUnconfirmed } from "./_refuse_unconfirmed.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Refuses an unknown route or API key, which a stale directory may lack although it has been added since. */
export function refuseUnknown(
    status: 401 | 404,
    reason: "route-unknown" | "key-missing" | "key-unknown",
    message: string,
    { directoryUpdater }: GatewayContext,
): GatewayRefusal {
    return directoryUpdater.canDenyUnknown()
        ? { status, reason, verdict: "not-run", message }
        : refuseUnconfirmed("configuration-stale", message);
}
