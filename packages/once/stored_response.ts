/** A service's answer, kept for callers that send their call again. */
export interface StoredResponse {
    /** HTTP status code. */
    status: number;
    /** Headers. */
    headers: Record<string, string | string[]>;
    /** The body in base64. */
    body: string;
}
