/** A stream that a caller takes up where it broke off. */
export interface ResumedStream {
    /** Id of the caller's attempt that got its first event; undefined if the caller has not named it. */
    firstAttempt: string | undefined;
}
