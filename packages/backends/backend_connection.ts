/**
 * One connection to a backend server, at whose other end there is one process for as long as it lasts. Responses that came over
 * the same connection bear the same object.
 */
export interface BackendConnection {
    /** Monotonic time in milliseconds of its first response. */
    readonly usedSince: number;
}
