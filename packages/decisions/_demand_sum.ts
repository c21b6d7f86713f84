import type { DemandReport } from "./demand_report.ts";
import type { UrgencyDemand } from "./urgency_demand.ts";

/** Sum of demands of one service, by urgency. */
export class DemandSum {
    readonly #byUrgency = new Map<number, UrgencyDemand>();

    /** Adds the demand of a report, each figure multiplied by a factor. */
    add(entries: DemandReport[string] | undefined, factor = 1): void {
        for (const [urgency, waiting, waitingTokens, grantedRate, refusedRate] of entries ?? []) {
            const sum = this.#byUrgency.get(urgency)
                ?? { urgency, waiting: 0, waitingTokens: 0, grantedRate: 0, refusedRate: 0 };
            sum.waiting += waiting * factor;
            sum.waitingTokens += waitingTokens * factor;
            sum.grantedRate += grantedRate * factor;
            sum.refusedRate += refusedRate * factor;
            this.#byUrgency.set(urgency, sum);
        }
    }

    /** The demands, the most urgent first. */
    demands(): UrgencyDemand[] {
        return [...this.#byUrgency.values()].sort((left, right) => left.urgency - right.urgency);
    }
}
