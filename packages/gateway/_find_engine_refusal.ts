import { hasVersion } from "./_has_version.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { ServerAvailability } from "./server_availability.ts";

/** Finds out whether no engine that a waiting request may use will take it in time. */
export function findEngineRefusal(
    waiter: DecodeWaiter,
    isBlocked: boolean,
    availability: ServerAvailability,
): GatewayRefusal | undefined {
    const { request, excluded, softwareVersion, answerBegun } = waiter;
    const service = request.service.name;
    const gone = softwareVersion === undefined ? undefined : availability.refuseVersion(service, softwareVersion);
    if (gone || isBlocked || answerBegun) {
        return gone;
    }
    if (softwareVersion === undefined) {
        return availability.findRefusal(service, "decode", excluded);
    }
    const others = availability.usableServers(service, "decode").filter(server => !hasVersion(server, waiter));
    return availability.findRefusal(service, "decode", new Set([...excluded, ...others.map(({ id }) => id)]));
}
