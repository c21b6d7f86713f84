/** A call to a plain service. */
export interface ServiceRequest {
    /** HTTP method. */
    method: string;
    /** Path with query. */
    path: string;
    /** Headers, without hop-by-hop headers and without the caller's API key. */
    headers: Record<string, string | string[]>;
    /** The whole body. */
    body: Buffer;
}
