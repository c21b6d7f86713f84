/** Response of a service, stored for callers that send their call again. */
export interface StoredResponse {
    /** HTTP status code. */
    status: number;
    /** Response headers. */
    headers: Record<string, string | string[]>;
    /** The response body in base64. */
    body: string;
}
