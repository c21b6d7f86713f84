/** Decisions under load: order of waiting, waits, refusals and returns. No network; times are passed in. */
export { compareWaiting } from "./compare_waiting.ts";
export { computeEnginePriority } from "./compute_engine_priority.ts";
export { computeShareUrgency } from "./compute_share_urgency.ts";
export { computeUrgency } from "./compute_urgency.ts";
export { demandReportSchema } from "./demand_report_schema.ts";
export { LoadPolicies } from "./load_policies.ts";
export type { MemoryRoom } from "./memory_room.ts";
export { mergeDemand } from "./merge_demand.ts";
export type { OrganisationRate } from "./organisation_rate.ts";
export type { TimedRequest } from "./timed_request.ts";
export type { WaitOutcome } from "./wait_outcome.ts";
export type { WaitingRequest } from "./waiting_request.ts";
