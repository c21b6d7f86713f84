/** A reservation that this instance holds or has asked for. */
export interface HeldReservation {
    /** Name of the backend server. */
    server: string;
    /** Id of the request. */
    id: string;
    /** Organisation that the request runs for. */
    organisation: string;
    /** Pieces reserved. */
    pieces: number;
    /** Recognises the request when its caller sends it again. */
    fingerprint?: string;
    /** Whether the home has granted it; until then it is only asked for. */
    granted?: boolean;
    /** Whether it must not be used any more, as the server started anew. */
    void?: boolean;
}
