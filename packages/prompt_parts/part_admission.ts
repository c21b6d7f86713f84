/**
 * Whether a request may run. `"probe"`: it may run once, to find out whether a blocked part still crashes servers.
 */
export type PartAdmission = "admitted" | "probe" | "blocked";
