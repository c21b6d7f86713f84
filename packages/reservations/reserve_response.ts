/** Answer of a backend server's home. */
export interface ReserveResponse {
    /** Whether the capacity is reserved. */
    granted: boolean;
    /** Why it is not. */
    why?: "not-home" | "down" | "drained" | "full" | "deadline" | "too-large" | undefined;
    /** Pieces left for others. */
    free: number;
    /** Requests that wait. */
    waiting: number;
}
