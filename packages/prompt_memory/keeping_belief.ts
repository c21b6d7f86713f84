/**
 * Why an engine is believed to keep the beginning of a prompt.
 *
 * `"sent"`: this instance sent it there. `"first"` and `"second"`: it ranks first or second for the prompt's session at all
 * instances that choose from the same engines. `"none"`: it is not believed to.
 */
export type KeepingBelief = "sent" | "first" | "second" | "none";
