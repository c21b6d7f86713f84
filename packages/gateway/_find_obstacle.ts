import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import { refuseBlockedPart } from "./refuse_blocked_part.ts";
import { refuseKey } from "./refuse_key.ts";

/** Finds out whether the request may no longer be sent to its decode engine. */
export function findObstacle(
    request: GatewayRequest,
    engine: RegisteredServer,
    context: GatewayContext,
): PassOutcome | undefined {
    const refusal = refuseKey(request.key, context);
    if (refusal) {
        return { kind: "key-refused", message: refusal.message, refusal };
    }
    if (!context.availability.isUsable(engine)) {
        return { kind: "withheld", message: "The decode engine is leaving or asks for a pause" };
    }
    // An engine may start again under its id; the reservation was made at its former process.
    const registered = context.directory.servers.get(engine.id);
    if (registered?.startedAt !== engine.startedAt || registered.softwareVersion !== engine.softwareVersion) {
        return { kind: "withheld", message: "The decode engine has started again" };
    }
    if (!request.isProbe && context.promptParts.isBlocked(request.promptParts)) {
        const message = "A part of the prompt crashes servers";
        return { kind: "part-blocked", message, refusal: refuseBlockedPart() };
    }
    return undefined;
}
