/** How a call to a server failed in a way that may be due to the link: not connected, reset, or no answer in time. */
export type LinkFault = "unreachable" | "reset" | "timeout";
