import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Says in the log which memory the engines had that a refused stream could have gone on at. */
export function logVersionRoom(waiter: DecodeWaiter, context: GatewayContext): void {
    const { request, softwareVersion, service, tokens, excluded } = waiter;
    const { availability, logger, serverLoads } = context;
    if (softwareVersion === undefined) {
        return;
    }
    const now = monotonicMilliseconds();
    const engines = availability.usableServers(service, "decode");
    const ofVersion = engines.filter(server => server.softwareVersion === softwareVersion);
    logger.info("stream found no memory at its version", {
        request: request.id,
        softwareVersion,
        answerBegun: waiter.answerBegun,
        tokens,
        waitedMilliseconds: Math.round(now - waiter.since),
        otherEngines: engines.length - ofVersion.length,
        engines: ofVersion.map(({ id }) => {
            const { active, reservedTokens } = serverLoads.get(id).total();
            return {
                id,
                freeTokens: (request.service.engine?.memoryTokens ?? 0) - reservedTokens,
                active,
                avoidedMilliseconds: Math.max(0, Math.round(serverLoads.get(id).avoidedUntil - now)),
                excluded: excluded.has(id),
            };
        }),
    });
}
