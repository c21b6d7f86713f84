/** Numbers of connections of callers that a process may hold. */
export interface ConnectionBounds {
    /** Connections whose requests are served. */
    callers: number;
    /** Connections beyond them whose callers are told so. */
    refusals: number;
}
