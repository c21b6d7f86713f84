/** One event of a decode stream. */
export interface DecodeEvent {
    /** Id of the request that the event belongs to. */
    request: string;
    /** Index of the token in the completion; in the last event, the total number of tokens. */
    offset: number;
    /** Text of the token; absent in the last event. */
    text?: string | undefined;
    /** Why the completion ended; only in the last event. */
    finish?: "stop" | "length" | undefined;
}
