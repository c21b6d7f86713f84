/** Hands pieces of state from one home to the next, so that each has at most one at a time. */
export { HomeManager } from "./home_manager.ts";
export type { HomeManagerOptions } from "./home_manager_options.ts";
export type { HomedState } from "./homed_state.ts";
