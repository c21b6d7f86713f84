import { LeastLoadedPolicy } from "./least_loaded_policy.ts";
import { LowestCostPolicy } from "./lowest_cost_policy.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import { RoundRobinPolicy } from "./round_robin_policy.ts";

/**
 * Creates a placement policy by the name that the settings use.
 *
 * @param name Name of the policy; `"today"` is {@linkcode LowestCostPolicy}.
 * @returns The policy.
 * @example
 * ```ts
 * createPlacementPolicy("today").reservesCapacity; // true
 * ```
 */
export function createPlacementPolicy(name: "today" | "round-robin" | "least-loaded"): PlacementPolicy {
    switch (name) {
        case "today":
            return new LowestCostPolicy();
        case "round-robin":
            return new RoundRobinPolicy();
        case "least-loaded":
            return new LeastLoadedPolicy();
    }
}
