/** Load of a backend server as this instance last learned of it. */
export interface ServerLoadHint {
    /** Pieces that were free. */
    free: number;
    /** Number of requests that were queued. */
    waiting: number;
    /** Monotonic time in milliseconds at which the load was received. */
    at: number;
    /** Monotonic time in milliseconds until which the server should be avoided; 0 if it need not be. */
    avoidUntil: number;
}
