export { HalfClosedCallers } from "./half_closed_callers.ts";
export type { InputEnds } from "./input_ends.ts";
