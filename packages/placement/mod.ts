/** Placement policies, which order the backend servers that a request may use. */
export type { Candidate } from "./candidate.ts";
export { createPlacementPolicy } from "./create_placement_policy.ts";
export { LeastLoadedPolicy } from "./least_loaded_policy.ts";
export { LowestCostPolicy } from "./lowest_cost_policy.ts";
export type { PlacementPolicy } from "./placement_policy.ts";
export type { PlacementRequest } from "./placement_request.ts";
export { PrefixAffinity } from "./prefix_affinity.ts";
export { RoundRobinPolicy } from "./round_robin_policy.ts";
