/** One event of an answer's stream. */
export interface DecodeEvent {
    /** Id of the request that the event belongs to. */
    request: string;
    /** Index of the token in the answer, or the number of tokens in the last event. */
    offset: number;
    /** Text of the token; absent in the last event. */
    text?: string | undefined;
    /** Why the answer ended; only in the last event. */
    finish?: "stop" | "length" | undefined;
}
