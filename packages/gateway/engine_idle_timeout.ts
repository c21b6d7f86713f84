import type { GatewayRequest } from "./gateway_request.ts";

/** Idle timeout in milliseconds if the stream can be continued by another engine. */
const RESUMABLE_IDLE_MILLISECONDS = 700;
/** Idle timeout in milliseconds otherwise. */
const IDLE_MILLISECONDS = 2_500;
/** The idle timeout is at least this multiple of the longest pause that the route permits. */
const PERMITTED_GAP_FACTOR = 2;

/**
 * Returns after how long a silence an engine counts as slow or failed. Silence does not end an answer by itself.
 *
 * @param request The request that the engine runs.
 * @param canResume Whether the stream can be continued by another engine.
 * @returns The timeout in milliseconds; shorter if the stream can be continued by another engine, but never so short that
 * a stream with the pauses that its route permits would count as silent.
 * @example
 * ```ts
 * const timeout = engineIdleTimeout(request, true);
 * ```
 */
export function engineIdleTimeout(request: GatewayRequest, canResume: boolean): number {
    const shortest = PERMITTED_GAP_FACTOR * request.route.targetGapMilliseconds;
    return Math.max(shortest, canResume ? RESUMABLE_IDLE_MILLISECONDS : IDLE_MILLISECONDS);
}
