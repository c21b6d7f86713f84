/** Refusals, and the verdict on whether a refused request may have run. */
export { Refusal } from "./refusal.ts";
export type { RefusalOptions } from "./refusal_options.ts";
export type { RefusalReason } from "./refusal_reason.ts";
export type { Verdict } from "./verdict.ts";
