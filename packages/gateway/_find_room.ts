import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { MemoryRoom } from "../decisions/mod.ts";
import type { RegisteredServer, ServiceProfile } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";

/**
 * Finds the room of the engines that this instance prefers, as far as the members of its cell report. `prefillTokens` is
 * the number of unfinished prompt tokens at a prefill engine from which requests wait.
 */
export function findRoom(service: ServiceProfile, prefillTokens: number, context: GatewayContext): MemoryRoom {
    const { availability, serverSubset } = context;
    const decodeEngines = availability.usableServers(service.name, "decode");
    const prefillEngines = availability.usableServers(service.name, "prefill");
    const preferred = serverSubset.narrow(decodeEngines, decodeEngines);
    const preferredPrefill = serverSubset.narrow(prefillEngines, prefillEngines);
    return {
        share: preferred.length / Math.max(1, decodeEngines.length),
        places: tokens => {
            const decodePlaces = countDecodePlaces(preferred, service.engine?.memoryTokens ?? 0, tokens, context);
            // Without prefill engines, decode engines compute the prompts.
            return prefillEngines.length === 0
                ? decodePlaces
                : Math.min(decodePlaces, countPrefillPlaces(preferredPrefill, prefillTokens, tokens, context));
        },
    };
}

function countDecodePlaces(
    engines: RegisteredServer[],
    memoryTokens: number,
    tokens: number,
    { serverLoads }: GatewayContext,
): number {
    const now = monotonicMilliseconds();
    return engines.reduce((places, { id, slots }) => {
        const load = serverLoads.get(id);
        const { active, reservedTokens } = load.total();
        const fitting = Math.min(slots - active, Math.floor((memoryTokens - reservedTokens) / tokens));
        return places + (load.avoidedUntil > now ? 0 : Math.max(0, fitting));
    }, 0);
}

/** Counts the prompts that can be sent until each engine has at least as many unfinished tokens as requests wait for. */
function countPrefillPlaces(
    engines: RegisteredServer[],
    limitTokens: number,
    tokens: number,
    { serverLoads, peerLoadWeight }: GatewayContext,
): number {
    const now = monotonicMilliseconds();
    return engines.reduce((places, { id }) => {
        const load = serverLoads.get(id);
        const left = limitTokens - load.total(peerLoadWeight()).prefillTokens;
        return places + (load.avoidedUntil > now ? 0 : Math.max(0, Math.ceil(left / tokens)));
    }, 0);
}
