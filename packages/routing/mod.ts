/** Routes model requests: limits, reservations, prefill, decode and retries. */
export type { Completion } from "./completion.ts";
export { estimateTokens } from "./estimate_tokens.ts";
export { findSelector } from "./find_selector.ts";
export type { ModelJob } from "./model_job.ts";
export { ModelRouter } from "./model_router.ts";
export type { ModelRouterOptions } from "./model_router_options.ts";
export { RetryBudget } from "./retry_budget.ts";
export { selectServers } from "./select_servers.ts";
