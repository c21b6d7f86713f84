/** Activates and hands over homed state, so that each key has at most one home at a time. */
export { HomeManager } from "./home_manager.ts";
export type { HomeManagerOptions } from "./home_manager_options.ts";
export type { HomedState } from "./homed_state.ts";
