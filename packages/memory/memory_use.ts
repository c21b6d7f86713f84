/**
 * What reserved memory is for. Neither requests nor answers can take all of the budget. A first read is what an answer may
 * bring before it can be held back; it counts as an answer and is reserved before a call is sent.
 */
export type MemoryUse = "request" | "answer" | "first-read";
