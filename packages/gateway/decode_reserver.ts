import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";

const RESERVE_TIMEOUT_MILLISECONDS = 250;
/** Time in milliseconds that an engine is avoided after it refused a reservation. */
const REFUSED_AVOID_MILLISECONDS = 120;
/** Time in milliseconds that an engine is avoided after it did not respond. */
const UNRESPONSIVE_AVOID_MILLISECONDS = 1_000;

/** Memory that is asked for. */
interface MemoryDemand {
    request: GatewayRequest;
    server: RegisteredServer;
    tokens: number;
    /** Software version of the engines that the request may use; undefined for all. */
    softwareVersion: string | undefined;
    /** Monotonic time in milliseconds since which the request waits for memory. */
    waitingSince: number;
}

/**
 * Asks engines for memory and keeps account of what they have granted.
 *
 * @example
 * ```ts
 * const reservation = await new DecodeReserver(context, engineClient).reserve(demand);
 * ```
 */
export class DecodeReserver {
    /**
     * @param context Shared objects of the gateway.
     * @param engineClient Calls engines.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly engineClient: EngineClient,
    ) {}

    /**
     * Asks an engine for memory. Until it has answered, the memory counts as reserved, and so does a
     * place within the limit that the engine names.
     *
     * @param demand The memory and what it is for.
     * @returns The reservation; undefined if the engine has not granted it, which is then avoided for a time.
     * @throws {Error} If the router fails; the memory no longer counts as reserved then.
     */
    async reserve(demand: MemoryDemand): Promise<DecodeReservation | undefined> {
        const { request, server, tokens, softwareVersion, waitingSince } = demand;
        const load = this.context.serverLoads.get(server.id);
        const expectedFree = (request.service.engine?.memoryTokens ?? 0) - load.total().reservedTokens;
        const lifetime = request.service.engine?.maximumReservationMilliseconds ?? 0;
        const requestedAt = monotonicMilliseconds();
        load.reservedTokens += tokens;
        load.active++;
        this.context.rollouts.count(server, request.route.name);
        const releasePlace = this.context.serverLimits.take(server);
        let reservationId: string | undefined;
        try {
            const response = await this.#ask(server, tokens, lifetime);
            reservationId = response.reservationId;
            this.context.logger.info("decode memory asked for", {
                request: request.id,
                engine: server.id,
                engineVersion: server.softwareVersion,
                neededVersion: softwareVersion,
                tokens,
                expectedFree,
                outcome: response.result,
                waitedMilliseconds: Math.round(monotonicMilliseconds() - waitingSince),
            });
        }
        finally {
            if (reservationId === undefined) {
                load.reservedTokens -= tokens;
                load.active--;
                releasePlace();
            }
        }
        if (reservationId === undefined) {
            return undefined;
        }
        this.context.metrics.observe("decode_wait", monotonicMilliseconds() - waitingSince);
        return { server, reservationId, tokens, releasePlace, requestedAt, expiresAt: requestedAt + lifetime };
    }

    async #ask(
        server: RegisteredServer,
        tokens: number,
        lifetime: number,
    ): Promise<{ result: "granted" | "refused" | "silent"; reservationId: string | undefined; }> {
        const { serverLoads, engineProtocol, metrics, crashRegistry } = this.context;
        const { status, body } = await this.engineClient.call(
            server,
            engineProtocol.reserve(tokens, lifetime),
            RESERVE_TIMEOUT_MILLISECONDS,
        );
        const reservationId = status === 200 ? engineProtocol.parseReservation(body) : undefined;
        const result = reservationId !== undefined ? "granted" : status === 0 ? "silent" : "refused";
        metrics.increment("decode_reservations_total", { result });
        if (result !== "granted") {
            const load = serverLoads.get(server.id);
            const unresponsive = result === "silent";
            if (unresponsive) {
                load.recordFailure();
            }
            if (status === 421) {
                serverLoads.markTerminated(server.id, server.startedAt);
                crashRegistry.recordServerEnd(server.id, server.startedAt);
            }
            load.avoidedUntil = monotonicMilliseconds()
                + (unresponsive ? UNRESPONSIVE_AVOID_MILLISECONDS : REFUSED_AVOID_MILLISECONDS);
        }
        return { result, reservationId };
    }
}
