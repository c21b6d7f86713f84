/** Response of a share's home to a charge. */
export interface ChargeResponse {
    /** Whether the responding instance is the share's home and has activated it. */
    active: boolean;
    /** Tokens taken. */
    granted: number;
    /** Tokens left in the share. */
    level: number;
}
