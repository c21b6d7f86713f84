import { DemandSum } from "./_demand_sum.ts";
import type { DemandReport } from "./demand_report.ts";

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
    if (services.size === 0) {
        return undefined;
    }
    const merged: DemandReport = {};
    for (const service of services) {
        const sum = new DemandSum();
        reports.forEach(report => sum.add(report?.[service]));
        merged[service] = sum.demands().map(demand => [
            demand.urgency,
            demand.waiting,
            demand.waitingTokens,
            demand.grantedRate,
            demand.refusedRate,
        ]);
    }
    return merged;
}
