import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";

/** Silence in milliseconds after which an engine counts as failed when its stream may be continued elsewhere. */
const RESUMABLE_GAP_MILLISECONDS = 700;
/** Silence in milliseconds after which an engine counts as failed otherwise; callers give up a second later. */
const GAP_MILLISECONDS = 2_500;

/**
 * Tells how long an engine may be silent before it counts as failed.
 *
 * @param request The request that it runs.
 * @param progress What the request has received so far.
 * @returns Milliseconds; fewer if the stream may be continued elsewhere.
 * @example
 * ```ts
 * const timeout = longestSilence(request, progress);
 * ```
 */
export function engineIdleTimeout(request: GatewayRequest, progress: PassProgress): number {
    const another = request.route.resumable && progress.runs + 1 < request.route.maximumServers;
    return another ? RESUMABLE_GAP_MILLISECONDS : GAP_MILLISECONDS;
}
