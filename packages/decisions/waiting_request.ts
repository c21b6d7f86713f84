/** What the order of requests that wait for memory depends on. */
export interface WaitingRequest {
    service: string;
    /** Urgency with regard to its organisation's share; the lowest number is served first. */
    urgency: number;
    /** Tokens that it waits for. */
    tokens: number;
    /** Monotonic time in milliseconds at which the wait began. */
    since: number;
    /** Whether the first event can no longer meet the target latency. */
    late: boolean;
    /** Whether a part of the answer has been sent. */
    answerBegun: boolean;
}
