/** A run of a request that had not delivered any event when its server crashed. */
export interface CrashedRun {
    /** Id of the server. */
    server: string;
    /** Monotonic time in milliseconds at which the request was sent to the server. */
    sentAt: number;
    /** Monotonic time in milliseconds at which the connection broke. */
    endedAt: number;
    /** Parts of the prompt that may have caused the crash. */
    parts: string[];
}
