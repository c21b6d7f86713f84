/** A request to a backend server. */
export interface BackendRequest {
    /** IP number and port. */
    address: string;
    method: string;
    /** Path with query. */
    path: string;
    /** Names and values by turns, without the length of the body. */
    headers: string[];
    body?: Buffer | undefined;
    /** Time in milliseconds in which the answer must begin. */
    timeoutMilliseconds: number;
    /** Ends the request and closes its connection. */
    signal?: AbortSignal | undefined;
    /** Header and value by which an answer is known to belong to this request. */
    correlation?: { header: string; value: string; } | undefined;
}
