import type { GatewayRequest } from "./gateway_request.ts";

/** Whether a request may be sent again although it may have run. */
export function mayRunAgain({ route }: GatewayRequest): boolean {
    return route.kind === "idempotent" || route.resumable;
}
