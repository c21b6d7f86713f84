/** Capacity reserved for one attempt at a request. */
export interface CapacityGrant {
    /** Name of the backend server. */
    server: string;
    /** Id of the attempt. */
    id: string;
    /** Pieces reserved; a piece is a block of KV cache memory. */
    pieces: number;
    /** Monotonic time in milliseconds just before the reservation was requested. */
    requestedAt: number;
}
