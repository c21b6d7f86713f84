/** What an instance last heard of a backend server's load. */
export interface ServerLoadHint {
    /** Pieces left. */
    free: number;
    /** Requests that wait. */
    waiting: number;
    /** Monotonic time in milliseconds at which it was heard. */
    at: number;
    /** Monotonic time in milliseconds until which the server is passed over. */
    avoidUntil: number;
}
