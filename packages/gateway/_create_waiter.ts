import { monotonicMilliseconds } from "../clocks/mod.ts";
import { computeShareUrgency } from "../decisions/mod.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Fraction of the maximum output tokens that is reserved; an engine that needs more preempts its newest request. */
const OUTPUT_FRACTION = 0.45;

/** Creates the wait of a request, which counts as demand until it has ended. */
export function createWaiter(
    wait: Pick<
        DecodeWaiter,
        | "request"
        | "excluded"
        | "softwareVersion"
        | "answerBegun"
        | "isWanted"
        | "neededMilliseconds"
        | "resolve"
        | "reject"
    >,
    context: GatewayContext,
): DecodeWaiter {
    const { request, answerBegun, isWanted } = wait;
    const { promptTokens, outputTokens, receivedAt, deadline, route } = request;
    const { loadPolicies } = context;
    const service = request.service.name;
    const since = monotonicMilliseconds();
    const { fairness, wait: waitPolicy } = loadPolicies.of(service);
    const isBeyondShare = !answerBegun && fairness.isBeyondShare(service, request.organisation?.name, since);
    const urgency = computeShareUrgency(request.urgency, isBeyondShare);
    const timed = {
        service,
        urgency,
        tokens: Math.ceil(promptTokens + OUTPUT_FRACTION * outputTokens),
        since,
        late: false,
        answerBegun,
        receivedAt,
        deadline,
        targetLatencyMilliseconds: route.targetLatencyMilliseconds,
        neededMilliseconds: wait.neededMilliseconds,
    };
    const leave = loadPolicies.urgencies.hasSeveral(service)
        ? loadPolicies.demand.enter(timed)
        : () => {};
    return {
        ...wait,
        ...timed,
        orderUrgency: urgency,
        hasWaited: false,
        hasYielded: false,
        giveUpAt: answerBegun ? Number.POSITIVE_INFINITY : waitPolicy.giveUpAt(timed),
        resolve: result => {
            const isGone = request.signal.aborted || !isWanted();
            leave(result.isOk() ? "granted" : isGone ? "gone" : "refused", monotonicMilliseconds());
            wait.resolve(result);
        },
        reject: error => {
            leave("gone", monotonicMilliseconds());
            wait.reject(error);
        },
    };
}
