/** Tokens charged to an organisation for one request. */
export interface Charge {
    /** The organisation. */
    organisation: string;
    /** Tokens charged in all. */
    amount: number;
    /** Monotonic time in milliseconds before the charge was asked for. */
    requestedAt: number;
    /** What each share gave. */
    parts: { index: number; id: string; amount: number; }[];
}
