/** Units of an organisation's rate limit that one request was charged. */
export interface RateLimitCharge {
    /** Reverts the charge of a request that no server ran; must be called at most once. */
    refund(): void;
}
