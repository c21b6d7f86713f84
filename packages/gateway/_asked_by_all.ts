import { addUnits } from "./_add_units.ts";
import type { SharedUsage } from "./shared_usage.ts";

/** Adds up the units that all instances were asked for in about the last second, by key. */
export function askedByAll(usage: SharedUsage): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const { asked } of [...usage.summarise(1), ...usage.otherCells]) {
        addUnits(sums, asked, 1);
    }
    return sums;
}
