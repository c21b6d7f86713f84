/** How the completion of a request ended, and its token counts. */
export interface Completion {
    /** Reason for which the engine stopped. */
    finish: "stop" | "length";
    /** Estimated number of tokens of the prompt. */
    promptTokens: number;
    /** Number of output tokens. */
    outputTokens: number;
}
