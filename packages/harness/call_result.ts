/** Result of a call as its caller saw it. */
export interface CallResult {
    /** HTTP status code; 0 if the connection broke before a response. */
    status: number;
    /** Id of the request, from the response header; empty without one. */
    requestId: string;
    /** Text of the body, as far as it was received. */
    text: string;
    /** The body or the last event of a stream, parsed as JSON; undefined if that fails. */
    json: unknown;
    /** Reason of a refusal. */
    reason: string | undefined;
    /** Verdict of a refusal; `may-have-run` if the connection broke. */
    verdict: string | undefined;
    /** Header `Retry-After`, if the response has it. */
    retryAfter: string | undefined;
    /** Milliseconds from the start of the call to each chunk of the body. */
    chunkTimes: number[];
    /** Whether the connection broke before the response was complete. */
    broken: boolean;
}
