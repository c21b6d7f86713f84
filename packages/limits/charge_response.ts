/** Answer of the home of a share to a charge. */
export interface ChargeResponse {
    /** Whether this instance is the home and the share is active. */
    active: boolean;
    /** Tokens taken. */
    granted: number;
    /** Tokens left. */
    level: number;
}
