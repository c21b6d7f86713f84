import { addDemand } from "./_add_demand.ts";
import type { DemandReport } from "./demand_report.ts";
import type { UrgencyDemand } from "./urgency_demand.ts";

/**
 * Adds up reports on demand.
 *
 * @param reports The reports; undefined ones are left out.
 * @returns The sum; undefined if no report has an entry.
 * @example
 * ```ts
 * mergeDemand([{ models: [[0, 1, 900, 50, 40]] }, { models: [[0, 2, 800, 10, 10]] }]);
 * // { models: [[0, 3, 1_700, 60, 50]] }
 * ```
 */
export function mergeDemand(reports: (DemandReport | undefined)[]): DemandReport | undefined {
    const services = new Set(reports.flatMap(report => Object.keys(report ?? {})));
    const merged: DemandReport = {};
    for (const service of services) {
        const sums = new Map<number, UrgencyDemand>();
        reports.forEach(report => addDemand(sums, report?.[service]));
        merged[service] = [...sums.values()].map(sum => [
            sum.priority,
            sum.waiting,
            sum.waitingTokens,
            sum.askedTokens,
            sum.grantedTokens,
        ]);
    }
    return services.size > 0 ? merged : undefined;
}
