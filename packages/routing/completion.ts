/** How an answer ended. */
export interface Completion {
    /** Why the engine stopped. */
    finish: "stop" | "length";
    /** Tokens of the prompt. */
    promptTokens: number;
    /** Tokens of the answer. */
    outputTokens: number;
}
