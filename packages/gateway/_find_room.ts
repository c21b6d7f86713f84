import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { MemoryRoom } from "../decisions/mod.ts";
import type { ServiceProfile } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Finds the free memory of the decode engines that this instance prefers, as far as the members of its cell report. */
export function findRoom(service: ServiceProfile, context: GatewayContext): MemoryRoom {
    const { availability, serverLoads, serverSubset } = context;
    const engines = availability.usableServers(service.name, "decode");
    const preferred = serverSubset.narrow(engines, engines);
    const memoryTokens = service.engine?.memoryTokens ?? 0;
    const now = monotonicMilliseconds();
    return {
        share: preferred.length / Math.max(1, engines.length),
        places: tokens =>
            preferred.reduce((places, { id, slots }) => {
                const load = serverLoads.get(id);
                const { active, reservedTokens } = load.total();
                const fitting = Math.min(slots - active, Math.floor((memoryTokens - reservedTokens) / tokens));
                return places + (load.avoidedUntil > now ? 0 : Math.max(0, fitting));
            }, 0),
    };
}
