/** Options of {@linkcode HttpStore}. */
export interface HttpStoreOptions {
    /** Deadline of one call in milliseconds. Default: 2,000. */
    timeoutMilliseconds?: number;
    /** Called after each call with its kind and result, for counters. */
    onCall?: (kind: "read" | "write" | "watch", result: "answered" | "failed") => void;
}
