import { sumSpending } from "./_sum_spending.ts";
import type { SharedUsage } from "./shared_usage.ts";

/** Sums up the units that all known instances have used in the window, by key. */
export function usedByAll(usage: SharedUsage): Record<string, number> {
    return sumSpending([...usage.summarise(0), ...usage.otherCells]);
}
