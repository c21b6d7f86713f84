import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";

/** Idle timeout in milliseconds if the stream can be continued by another engine. */
const RESUMABLE_IDLE_MILLISECONDS = 700;
/** Idle timeout in milliseconds otherwise; callers give up one second later. */
const IDLE_MILLISECONDS = 2_500;
/** The idle timeout is at least this multiple of the longest pause that the route permits. */
const PERMITTED_GAP_FACTOR = 2;

/**
 * Returns how long an engine may send nothing before it counts as failed.
 *
 * @param request The request that the engine runs.
 * @param progress Progress of the stream.
 * @returns The timeout in milliseconds; shorter if the stream can be continued by another engine, but never so short that
 * a stream with the pauses that its route permits would be cut.
 * @example
 * ```ts
 * const timeout = engineIdleTimeout(request, progress);
 * ```
 */
export function engineIdleTimeout(request: GatewayRequest, progress: PassProgress): number {
    const canResume = request.route.resumable && progress.runs + 1 < request.route.maximumServers;
    const shortest = PERMITTED_GAP_FACTOR * request.route.targetGapMilliseconds;
    return Math.max(shortest, canResume ? RESUMABLE_IDLE_MILLISECONDS : IDLE_MILLISECONDS);
}
