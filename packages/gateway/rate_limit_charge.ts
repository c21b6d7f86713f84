/** What a request was charged to its organisation's limit. */
export interface RateLimitCharge {
    /** Takes the charge back, once, since no server has run the request. */
    refund(): void;
}
