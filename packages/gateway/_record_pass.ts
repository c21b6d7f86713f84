import type { DecodeReservation } from "./decode_reservation.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";

/** Records how a run at a decode engine ended for the judgement of the engine's version. */
export function recordPass(
    request: GatewayRequest,
    { server }: DecodeReservation,
    outcome: PassOutcome,
    milliseconds: number,
    { rollouts }: Pick<GatewayContext, "rollouts">,
): void {
    const route = request.route.name;
    switch (outcome.kind) {
        case "completed":
            rollouts.record(server, route, milliseconds);
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
