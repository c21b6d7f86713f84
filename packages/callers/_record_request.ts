import type { IncomingMessage } from "node:http";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Refusal } from "../verdicts/mod.ts";
import { withoutQuery } from "./_without_query.ts";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** A request that has ended. */
interface EndedRequest {
    id: string;
    request: IncomingMessage;
    organisation: string;
    /** Undefined if the request was served. */
    refusal: Refusal | undefined;
    /** Monotonic time in milliseconds at which it was received. */
    startedAt: number;
}

/** Counts and logs a request that has ended. */
export function recordRequest(
    { id, request, organisation, refusal, startedAt }: EndedRequest,
    { metrics, logger }: Pick<CallerServerOptions, "metrics" | "logger">,
): void {
    const milliseconds = monotonicMilliseconds() - startedAt;
    metrics.increment("requests_total", { result: refusal ? "refused" : "served" });
    metrics.observe("request", milliseconds);
    if (refusal) {
        metrics.increment("refusals_total", { reason: refusal.reason, verdict: refusal.verdict });
    }
    logger.info("request", {
        request: id,
        path: withoutQuery(request.url ?? "/"),
        organisation,
        milliseconds: Math.round(milliseconds),
        ...(refusal ? { reason: refusal.reason, verdict: refusal.verdict } : {}),
    });
}
