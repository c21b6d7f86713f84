import type { DecodeReservation } from "./decode_reservation.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";

/** Number of delivered events that show that the prompt does not crash its engine; a crash may follow the first one. */
const CLEARING_EVENTS = 2;

/**
 * What one run of a request at a decode engine shows about the parts of its prompt: they are sound, or they may have
 * crashed the engine.
 *
 * @example
 * ```ts
 * const evidence = new CrashEvidence(context, request, reservation);
 * evidence.recordEvent();
 * evidence.recordOutcome({ kind: "completed" });
 * ```
 */
export class CrashEvidence {
    #events = 0;

    /**
     * @param context Shared objects of the gateway.
     * @param request The request.
     * @param reservation Reservation at the engine.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly request: GatewayRequest,
        private readonly reservation: DecodeReservation,
    ) {}

    /** Records that an event was delivered. */
    recordEvent(): void {
        if (++this.#events === CLEARING_EVENTS) {
            this.context.promptParts.recordServed(this.request.promptParts);
        }
    }

    /**
     * Records how the run ended.
     *
     * @param outcome The outcome.
     */
    recordOutcome(outcome: PassOutcome): void {
        const { promptParts, crashRegistry, serverEndProbe } = this.context;
        const { request, reservation } = this;
        if (outcome.kind === "completed") {
            promptParts.recordServed(request.promptParts);
        }
        if (outcome.kind === "may-have-run" || outcome.kind === "broken") {
            const isSuspect = !outcome.isGivenUp && !request.signal.aborted && this.#events < CLEARING_EVENTS
                && !this.#isLeaving();
            const run = { aliveAt: reservation.requestedAt, parts: request.promptParts };
            crashRegistry.recordBrokenConnection(request, reservation.server, isSuspect ? run : undefined);
            if (isSuspect) {
                serverEndProbe.start(reservation.server);
            }
        }
    }

    /** Whether the engine was about to end in any case. */
    #isLeaving(): boolean {
        const { directory, leavingServers } = this.context;
        const { server } = this.reservation;
        return directory.servers.get(server.id)?.leaving === true || leavingServers.isLeaving(server);
    }
}
