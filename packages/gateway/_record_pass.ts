import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";

/**
 * Records how a run at a decode engine ended, for the judgement of the engine's version and the division of the engines;
 * `isPrefilled` if a prefill engine had computed the prompt.
 */
export function recordPass(
    request: GatewayRequest,
    { server, tokens }: DecodeReservation,
    outcome: PassOutcome,
    milliseconds: number,
    isPrefilled: boolean,
    { rollouts, stageWork }: Pick<GatewayContext, "rollouts" | "stageWork">,
): void {
    const route = request.route.name;
    switch (outcome.kind) {
        case "completed":
            rollouts.record(server, route, milliseconds);
            if (isPrefilled) {
                const memoryTokens = request.service.engine?.memoryTokens ?? tokens;
                const occupancy = Math.max(tokens / memoryTokens, 1 / server.slots);
                stageWork?.recordRun(request.service.name, { occupancy, milliseconds }, monotonicMilliseconds());
            }
            break;
        case "relayed":
            rollouts.record(server, route, undefined);
            break;
        case "may-have-run":
        case "broken":
            // A caller that has gone away says nothing of the engine.
            if (!request.signal.aborted) {
                rollouts.record(server, route, undefined);
            }
    }
}
