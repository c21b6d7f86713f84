import type { WaitingRequest } from "./waiting_request.ts";

/** A waiting request with the urgency that its order gives to it. */
type RankedRequest = Pick<WaitingRequest, "answerBegun" | "late" | "since"> & { orderUrgency: number; };

/**
 * Compares two waiting requests: those whose answer has begun go first, and those that can no longer meet their target
 * latency last; then by urgency, then by arrival.
 *
 * @param left A request.
 * @param right Another one.
 * @returns A negative number if the left one goes first.
 * @example
 * ```ts
 * requests.sort(compareWaiting);
 * ```
 */
export function compareWaiting(left: RankedRequest, right: RankedRequest): number {
    return Number(right.answerBegun) - Number(left.answerBegun)
        || Number(left.late) - Number(right.late)
        || left.orderUrgency - right.orderUrgency
        || left.since - right.since;
}
