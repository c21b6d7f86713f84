/** Hands pieces of state from one home to the next, so that each has at most one at a time. */
export type { HomedState } from "./homed_state.ts";
export { Homes } from "./homes.ts";
export type { HomesOptions } from "./homes_options.ts";
