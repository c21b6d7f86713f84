import type { UsageSummary } from "../peers/mod.ts";

/** Creates the usage by instances that report, without assumed shares. */
export function createUsageSummary(
    instances: number,
    spending: UsageSummary["spending"],
    asked: UsageSummary["asked"],
): UsageSummary {
    return { instances, spending, asked, assumedShare: 0, age: 0, missing: false };
}
