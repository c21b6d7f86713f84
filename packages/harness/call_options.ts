/** Options of {@linkcode sendRequest}. */
export interface CallOptions {
    /** HTTP method. Default: POST with a body, GET without. */
    method?: string;
    /** API key of the caller. */
    key?: string;
    /** Body, sent as JSON unless it is a string. */
    body?: unknown;
    /** Further headers. */
    headers?: Record<string, string>;
    /** Timeout in milliseconds. Default: 30,000. */
    timeoutMilliseconds?: number;
    /** Aborts the call. */
    signal?: AbortSignal;
}
