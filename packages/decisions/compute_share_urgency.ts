/** Less than the difference between two urgencies, which are whole numbers. */
const BEYOND_SHARE_STEP = 0.5;

/**
 * Computes the urgency of a request with regard to its organisation's fair share.
 *
 * @param urgency Urgency by the configuration; the lowest number is served first.
 * @param isBeyondShare Whether the request is beyond the share.
 * @returns The urgency; a request beyond the share comes after all of its urgency and before the next one.
 * @example
 * ```ts
 * computeShareUrgency(1, true); // 1.5
 * ```
 */
export function computeShareUrgency(urgency: number, isBeyondShare: boolean): number {
    return urgency + (isBeyondShare ? BEYOND_SHARE_STEP : 0);
}
