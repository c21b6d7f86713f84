import { LeastLoadedPolicy } from "./least_loaded_policy.ts";
import { LowestCostPolicy } from "./lowest_cost_policy.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import { RoundRobinPolicy } from "./round_robin_policy.ts";

/**
 * Creates the policy that the settings name.
 *
 * @param name Name of the policy.
 * @returns The policy.
 * @example
 * ```ts
 * createPlacementPolicy("today").reserves; // true
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
