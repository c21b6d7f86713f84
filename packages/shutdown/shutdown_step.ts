/** Step at the end of a shutdown, in the order in which they follow each other. */
export type ShutdownStep = "close of the port" | "refusals" | "last answers" | "last calls" | "exit";
