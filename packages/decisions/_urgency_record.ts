import { DecayingRate } from "./_decaying_rate.ts";

/** Time in milliseconds within which granted and refused tokens count as recent. */
const RATE_LIFETIME_MILLISECONDS = 4_000;

/** What this instance's requests of one service and one urgency wait for and were granted. */
export class UrgencyRecord {
    waiting = 0;
    waitingTokens = 0;
    readonly granted = new DecayingRate(RATE_LIFETIME_MILLISECONDS);
    readonly refused = new DecayingRate(RATE_LIFETIME_MILLISECONDS);
}
