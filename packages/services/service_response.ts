/** The complete response of a plain service. */
export interface ServiceResponse {
    /** HTTP status code. */
    status: number;
    /** Headers, without hop-by-hop headers. */
    headers: Record<string, string | string[]>;
    /** The whole body. */
    body: Buffer;
    /** Whether bytes that are no answer followed the body; they may as well stand in place of its end. */
    isDoubtful: boolean;
}
