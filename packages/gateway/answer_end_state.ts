/** What became of a server: it responded after the end of its answer, it has ended, or neither is known in time. */
export type AnswerEndState = "running" | "ended" | "unknown";
