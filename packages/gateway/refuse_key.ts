import { refuseUnconfirmed } from "./_refuse_unconfirmed.ts";
import { refuseUnknown } from "./_refuse_unknown.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";

/**
 * Refuses a request whose API key is unknown, was withdrawn or cannot be confirmed now. A request that waits is judged
 * like a new one each time before it is sent.
 *
 * @param key The key; undefined on open routes.
 * @param context Shared objects of the gateway.
 * @returns The refusal; undefined if the key may be used.
 * @example
 * ```ts
 * const refusal = refuseKey(request.key, context);
 * ```
 */
export function refuseKey(key: string | undefined, context: GatewayContext): GatewayRefusal | undefined {
    const { directory, directoryUpdater } = context;
    if (key === undefined) {
        return undefined;
    }
    if (directory.configuration?.organisations && !directory.findOrganisation(key)) {
        return refuseUnknown(401, "key-unknown", "The key is unknown", context);
    }
    return directoryUpdater.canAcceptKeys()
        ? undefined
        : refuseUnconfirmed("configuration-stale", "Keys cannot be confirmed now");
}
