import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";

/** Idle timeout in milliseconds if the stream can be continued by another engine. */
const RESUMABLE_IDLE_MILLISECONDS = 700;
/** Idle timeout in milliseconds otherwise; callers give up one second later. */
const IDLE_MILLISECONDS = 2_500;

/**
 * Returns how long an engine may send nothing before it counts as failed.
 *
 * @param request The request that the engine runs.
 * @param progress Progress of the stream.
 * @returns The timeout in milliseconds; shorter if the stream can be continued by another engine.
 * @example
 * ```ts
 * const timeout = engineIdleTimeout(request, progress);
 * ```
 */
export function engineIdleTimeout(request: GatewayRequest, progress: PassProgress): number {
    const canResume = request.route.resumable && progress.runs + 1 < request.route.maximumServers;
    return canResume ? RESUMABLE_IDLE_MILLISECONDS : IDLE_MILLISECONDS;
}
