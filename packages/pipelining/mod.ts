/** Bounds of the requests that one connection of an HTTP server has under way, and of the memory that its input takes. */
export type { InputRefusal } from "./input_refusal.ts";
export { PipeliningLimit } from "./pipelining_limit.ts";
export type { PipeliningLimitOptions } from "./pipelining_limit_options.ts";
