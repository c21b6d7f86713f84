/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
    maximumHeaderBytes: number;
    maximumBodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
}
