/** Why the input of a connection is refused before it is a request: its head is too long, or there is no memory for it. */
export type InputRefusal = "head-too-large" | "memory-full";
