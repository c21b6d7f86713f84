/** A request to a backend server. */
export interface BackendRequest {
    /** IP address and port. */
    address: string;
    method: string;
    /** Path with query. */
    path: string;
    /** Alternating names and values, without Content-Length. */
    headers: string[];
    body?: Buffer | undefined;
    /** Time in milliseconds within which the headers of the response must arrive. */
    timeoutMilliseconds: number;
    /** Whether the request is sent on a connection of its own, which is closed after it. */
    newConnection?: boolean | undefined;
    /** Aborts the request and closes its connection. */
    signal?: AbortSignal | undefined;
    /**
     * Header and value that a response must have to belong to this request. Without a value, the request names no id, and
     * a response that names an earlier request to the server belongs to that one.
     */
    correlation?: { header: string; value: string | undefined; } | undefined;
}
