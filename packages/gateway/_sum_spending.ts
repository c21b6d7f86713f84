import type { UsageSummary } from "../peers/mod.ts";
import { addUnits } from "./_add_units.ts";

/** Units that instances have spent together, by key. */
export function sumSpending(usage: UsageSummary[]): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const { spending } of usage) {
        addUnits(sums, spending, 1);
    }
    return sums;
}
