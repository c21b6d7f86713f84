/** Who ended a request or a connection before its answer was complete. */
export type EndedBy = "caller" | "router" | "deadline" | "shutdown" | "server" | "timer";
