/** Options of {@linkcode callFleet}. */
export interface CallOptions {
    /** HTTP method. Default: POST with a body, GET without. */
    method?: string;
    /** Key of the caller. */
    key?: string;
    /** Body, sent as JSON unless it is a string. */
    body?: unknown;
    /** Further headers. */
    headers?: Record<string, string>;
    /** Longest time in milliseconds. Default: 30,000. */
    timeoutMilliseconds?: number;
    /** Ends the call. */
    signal?: AbortSignal;
}
