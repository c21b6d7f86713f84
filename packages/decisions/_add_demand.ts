import type { DemandReport } from "./demand_report.ts";
import type { UrgencyDemand } from "./urgency_demand.ts";

/** Adds what a report says of a service to demands by priority, each figure multiplied by a factor. */
export function addDemand(
    sums: Map<number, UrgencyDemand>,
    entries: DemandReport[string] | undefined,
    factor = 1,
): void {
    for (const [priority, waiting, waitingTokens, askedTokens, grantedTokens] of entries ?? []) {
        const sum = sums.get(priority)
            ?? { priority, waiting: 0, waitingTokens: 0, askedTokens: 0, grantedTokens: 0 };
        sum.waiting += waiting * factor;
        sum.waitingTokens += waitingTokens * factor;
        sum.askedTokens += askedTokens * factor;
        sum.grantedTokens += grantedTokens * factor;
        sums.set(priority, sum);
    }
}
