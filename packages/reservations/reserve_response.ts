/** Response of a backend server's home to a {@linkcode ReserveRequest}. */
export interface ReserveResponse {
    /** Whether the capacity is reserved. */
    granted: boolean;
    /** Reason for which the request was rejected; absent if it was granted. */
    why?: "not-home" | "down" | "drained" | "full" | "deadline" | "too-large" | undefined;
    /** Pieces that are still free. */
    free: number;
    /** Number of requests in the queue. */
    waiting: number;
}
