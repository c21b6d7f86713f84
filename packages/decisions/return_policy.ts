import type { WaitingRequest } from "./waiting_request.ts";

/** Decides after which time callers may send a refused request again. */
export interface ReturnPolicy {
    /** Returns the delay in milliseconds, before the bound that the caller's remaining time sets. */
    delayMilliseconds(request: WaitingRequest, now: number): number;
}
