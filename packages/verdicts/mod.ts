/** What is known about whether a request ran, and the refusals that say so. */
export { Refusal } from "./refusal.ts";
export type { RefusalOptions } from "./refusal_options.ts";
export type { RefusalReason } from "./refusal_reason.ts";
export type { Verdict } from "./verdict.ts";
