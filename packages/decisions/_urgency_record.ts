import { DecayingRate } from "./_decaying_rate.ts";

/** Time in milliseconds within which granted and refused tokens count as recent. */
const RATE_LIFETIME_MILLISECONDS = 2_000;

/** What this instance's requests of one service and one urgency wait for and were granted. */
export class UrgencyRecord {
    /** Waiting requests: their tokens, and the monotonic time in milliseconds until which they can meet their target. */
    readonly waiting = new Set<{ tokens: number; onTimeUntil: number; }>();
    readonly granted = new DecayingRate(RATE_LIFETIME_MILLISECONDS);
    readonly refused = new DecayingRate(RATE_LIFETIME_MILLISECONDS);

    /** The waiting requests that can still meet their target, and their tokens. */
    onTime(now: number): { requests: number; tokens: number; } {
        let requests = 0;
        let tokens = 0;
        for (const request of this.waiting) {
            if (request.onTimeUntil >= now) {
                requests++;
                tokens += request.tokens;
            }
        }
        return { requests, tokens };
    }
}
