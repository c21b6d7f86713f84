/** A request to be sent at a scheduled time. */
export interface ScheduledRequest {
    /** Milliseconds after the start. */
    at: number;
    organisation: string;
    prompt: string;
    promptTokens: number;
    maximumTokens: number;
}
