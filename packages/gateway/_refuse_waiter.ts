import { err } from "neverthrow";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { logVersionRoom } from "./_log_version_room.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Ends a wait with a refusal; `isHopeless` if memory is not expected in time. */
export function refuseWaiter(waiter: DecodeWaiter, isHopeless: boolean, context: GatewayContext): void {
    const { request, service, tokens } = waiter;
    const { urgency } = request;
    const { loadPolicies, logger, metrics } = context;
    const now = monotonicMilliseconds();
    const isExpired = now >= request.deadline;
    const retryAfterMilliseconds = loadPolicies.of(service).return.delayMilliseconds(waiter, now);
    if (loadPolicies.urgencies.hasSeveral(service)) {
        const isGone = request.signal.aborted || !waiter.isWanted();
        const cause = isGone ? "gone" : isHopeless ? "not-in-time" : "wait-ended";
        metrics.increment("decode_refusals_total", { urgency: String(urgency), cause });
        logger.info("decode memory not granted", {
            request: request.id,
            cause,
            urgency,
            isBeyondShare: waiter.urgency > urgency,
            tokens,
            waitedMilliseconds: Math.round(now - waiter.since),
            leftMilliseconds: Math.round(waiter.giveUpAt - now),
            expectedMilliseconds: Math.round(loadPolicies.estimator.expectMilliseconds(waiter, now) ?? -1),
            demand: loadPolicies.demand.total(service, now),
            retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
        });
    }
    logVersionRoom(waiter, context);
    waiter.resolve(err({
        status: 503,
        reason: isExpired ? "deadline-passed" : "no-capacity",
        verdict: "not-run",
        message: isHopeless
            ? "No decode engine is expected to have memory for the request in time"
            : "No decode engine has memory for the request",
        retryAfterMilliseconds,
    }));
}
