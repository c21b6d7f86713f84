/** The caller of a request: authenticated by an API key, or anonymous on a route without authentication. */
export interface CallerIdentity {
    /** Organisation of the API key; empty on a route without authentication. */
    organisation: string;
    /** Hash of the API key; empty on a route without authentication. */
    keyHash: string;
    /** The API key itself, to remove it from forwarded requests; empty on a route without authentication. */
    key: string;
}
