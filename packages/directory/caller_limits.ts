/** What a caller may send, and how long it may take. */
export interface CallerLimits {
    maximumHeaderBytes: number;
    maximumBodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
}
