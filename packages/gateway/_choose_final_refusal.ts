import { createStreamRefusal } from "./_create_stream_refusal.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRefusalReason } from "./gateway_refusal_reason.ts";
import type { GatewayRequest } from "./gateway_request.ts";

/** Reasons that hold whatever the engines can take. */
const FINAL_REASONS: ReadonlySet<GatewayRefusalReason> = new Set([
    "key-unknown",
    "configuration-stale",
    "stream-version-unknown",
    "stream-version-gone",
]);

/** Chooses what a model request is told in the end, given the refusal of its last pass. */
export function chooseFinalRefusal(
    request: GatewayRequest,
    refusal: GatewayRefusal | undefined,
    context: GatewayContext,
): GatewayRefusal {
    if (request.signal.aborted) {
        const verdict = refusal?.verdict ?? "not-run";
        const status = verdict === "not-run" ? 503 : 504;
        return { status, reason: "deadline-passed", verdict, message: "No answer in time" };
    }
    if (refusal && (refusal.verdict === "may-have-run" || FINAL_REASONS.has(refusal.reason))) {
        return refusal;
    }
    return context.availability.findRefusal(request.service.name, "decode")
        ?? refusal ?? createStreamRefusal("no-backend-server", "not-run", "No engine could take the request");
}
