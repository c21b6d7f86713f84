/** Tokens that one request takes from its organisation's limit. */
export interface Charge {
    /** The organisation. */
    organisation: string;
    /** Total of the tokens charged. */
    amount: number;
    /** Monotonic time in milliseconds before the charge was requested. */
    requestedAt: number;
    /** Tokens taken from each share. */
    parts: { index: number; id: string; amount: number; }[];
}
