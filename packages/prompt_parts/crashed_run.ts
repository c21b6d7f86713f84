/** A run of a request that had not delivered any event when its server crashed. */
export interface CrashedRun {
    /** Id of the server. */
    server: string;
    /** Unix time in milliseconds of the server's start; one start crashes once. */
    startedAt: number;
    /** Monotonic time in milliseconds at which the server still ran, before the request was sent. */
    aliveAt: number;
    /** Monotonic time in milliseconds at which the connection broke. */
    endedAt: number;
    /** Parts of the prompt that may have caused the crash. */
    parts: string[];
}
