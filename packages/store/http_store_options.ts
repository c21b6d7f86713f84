/** Options of {@linkcode HttpStore}. */
export interface HttpStoreOptions {
    /** Time limit of one call in milliseconds; the wait of a watch is added to it. Default: 2,000. */
    timeoutMilliseconds?: number;
    /** Called after each call with its kind and result, to count calls. */
    onCall?: (kind: "read" | "write" | "watch", result: "answered" | "failed") => void;
}
