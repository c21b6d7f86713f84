/** A reservation that this instance holds or has requested. */
export interface HeldReservation {
    /** Name of the backend server. */
    server: string;
    /** Id of the request. */
    id: string;
    /** Organisation that the request runs for. */
    organisation: string;
    /** Pieces reserved; a piece is a block of KV cache memory. */
    pieces: number;
    /** Fingerprint of the request; the same if the caller sends the request again. */
    fingerprint?: string;
    /** Whether the home has granted it; until then it is only requested. */
    granted?: boolean;
    /** Whether it is invalid because the server failed or restarted, or a new home took over before the grant. */
    void?: boolean;
}
