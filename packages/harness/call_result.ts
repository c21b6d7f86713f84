/** What a caller saw of its call. */
export interface CallResult {
    /** HTTP status code; 0 if the connection broke before an answer. */
    status: number;
    /** Id of the request, if the answer named one. */
    requestId: string;
    /** The answer's text so far. */
    text: string;
    /** The answer as JSON, if it is JSON. */
    json: unknown;
    /** Reason of a refusal. */
    reason: string | undefined;
    /** Verdict of a refusal; `may-have-run` if the connection broke. */
    verdict: string | undefined;
    /** Header `Retry-After`. */
    retryAfter: string | undefined;
    /** Milliseconds from the call to each event of a stream. */
    chunkTimes: number[];
    /** Whether the connection broke before the answer was complete. */
    broken: boolean;
}
