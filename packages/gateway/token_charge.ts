/** What a request was charged to its organisation's limit. */
export interface TokenCharge {
    /** Takes the charge back, once, since no server has run the request. */
    refund(): void;
}
