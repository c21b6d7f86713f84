/** What a process of an engine has read of prompts since its start, also what it no longer keeps. */
export interface PromptHistory {
    /** Whether nothing is missing since the start of the process. */
    isComplete: boolean;
    /** Largest number of tokens that it has kept of a part of a prompt at a time, by the part's id. */
    tokens: ReadonlyMap<string, number>;
}
