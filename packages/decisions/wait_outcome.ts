/** How a wait for memory ended; `"gone"` if the memory was no longer wanted. */
export type WaitOutcome = "granted" | "refused" | "gone";
