import { DemandSum } from "./_demand_sum.ts";
import { UrgencyRecord } from "./_urgency_record.ts";
import { computeShareUrgency } from "./compute_share_urgency.ts";
import type { DemandReport } from "./demand_report.ts";
import { mergeDemand } from "./merge_demand.ts";
import type { TimedRequest } from "./timed_request.ts";
import type { UrgencyDemand } from "./urgency_demand.ts";
import type { WaitOutcome } from "./wait_outcome.ts";

/** Age in milliseconds above which a report no longer counts, so that an instance then acts on what it knows itself. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;
/** Rate in tokens per second below which an urgency without waiting requests is left out of reports. */
const REPORTED_RATE = 1;

interface ReceivedReport {
    report: DemandReport;
    at: number;
}

/**
 * Demand for engine memory at all instances, by service and urgency: that of this instance, that which the members of
 * its cell report, and the sum of the other cells. Times are monotonic times in milliseconds.
 *
 * @example
 * ```ts
 * const demand = new FleetDemand();
 * const leave = demand.enter(request);
 * demand.recordPeer("instance-2", { models: [[1, 2, 6_000, 0, 0]] }, now);
 * leave("granted", now + 80);
 * ```
 */
export class FleetDemand {
    readonly #own = new Map<string, Map<number, UrgencyRecord>>();
    readonly #peers = new Map<string, ReceivedReport>();
    #otherCells: ReceivedReport = { report: {}, at: Number.NEGATIVE_INFINITY };

    /**
     * Counts a request that waits for memory, until its target can no longer be met.
     *
     * @param request The request.
     * @returns A function that ends the wait, given its outcome and the time; later calls have no effect.
     */
    enter(request: TimedRequest): (outcome: WaitOutcome, now: number) => void {
        const { service, urgency, tokens, receivedAt, targetLatencyMilliseconds, neededMilliseconds } = request;
        const record = this.#recordOf(service, urgency);
        const wait = { tokens, onTimeUntil: receivedAt + targetLatencyMilliseconds - neededMilliseconds };
        record.waiting.add(wait);
        return (outcome, now) => {
            if (record.waiting.delete(wait) && outcome !== "gone") {
                record[outcome].add(tokens, now);
            }
        };
    }

    /**
     * Reports the demand of this instance to the members of its cell.
     *
     * @param now The time.
     * @returns The report; undefined without recent demand.
     */
    report(now: number): DemandReport | undefined {
        const report: DemandReport = {};
        for (const [service, records] of this.#own) {
            const entries: DemandReport[string] = [];
            for (const [urgency, record] of records) {
                const { requests, tokens } = record.onTime(now);
                const grantedRate = Math.round(record.granted.perSecond(now));
                const refusedRate = Math.round(record.refused.perSecond(now));
                if (requests > 0 || grantedRate + refusedRate >= REPORTED_RATE) {
                    entries.push([urgency, requests, tokens, grantedRate, refusedRate]);
                }
            }
            if (entries.length > 0) {
                report[service] = entries;
            }
        }
        return Object.keys(report).length > 0 ? report : undefined;
    }

    /**
     * Replaces the demand of a member of the cell.
     *
     * @param name Name of the instance.
     * @param report Its report; undefined without demand.
     * @param now The time.
     */
    recordPeer(name: string, report: DemandReport | undefined, now: number): void {
        if (report) {
            this.#peers.set(name, { report, at: now });
        }
        else {
            this.#peers.delete(name);
        }
    }

    /**
     * Replaces the demand of all other cells.
     *
     * @param report The sum of their demands; undefined without demand.
     * @param now The time.
     */
    recordOtherCells(report: DemandReport | undefined, now: number): void {
        this.#otherCells = { report: report ?? {}, at: now };
    }

    /**
     * Sums up the demand of this instance's cell for the other cells.
     *
     * @param now The time.
     * @returns The sum; undefined without demand.
     */
    summarise(now: number): DemandReport | undefined {
        return mergeDemand([this.report(now), ...this.#recentPeers(now)]);
    }

    /**
     * Returns the demand of the other instances for the engines that the cell prefers.
     *
     * @param service Name of the service.
     * @param share Fraction of all engines that the cell prefers: requests of other cells spread over all engines.
     * @param now The time.
     * @returns The demands, the most urgent first.
     */
    ofOthers(service: string, share: number, now: number): UrgencyDemand[] {
        const sum = new DemandSum();
        this.#recentPeers(now).forEach(report => sum.add(report[service]));
        sum.add(this.#recentOtherCells(now)[service], share);
        return sum.demands();
    }

    /**
     * Returns the demand of all instances, this one included.
     *
     * @param service Name of the service.
     * @param now The time.
     * @returns The demands, the most urgent first.
     */
    total(service: string, now: number): UrgencyDemand[] {
        const sum = new DemandSum();
        sum.add(this.report(now)?.[service]);
        this.#recentPeers(now).forEach(report => sum.add(report[service]));
        sum.add(this.#recentOtherCells(now)[service]);
        return sum.demands();
    }

    /**
     * Returns the tokens that requests of this instance wait for.
     *
     * @param urgency Urgency of the requests.
     * @returns The tokens, of all services together, with those of late requests.
     */
    ownWaitingTokens(urgency: number): number {
        const levels = [false, true].map(isBeyondShare => computeShareUrgency(urgency, isBeyondShare));
        const records = [...this.#own.values()].flatMap(byUrgency =>
            levels.flatMap(level => byUrgency.get(level) ?? [])
        );
        const waiting = records.flatMap(record => [...record.waiting]);
        return waiting.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    #recordOf(service: string, urgency: number): UrgencyRecord {
        const records = this.#own.get(service) ?? new Map<number, UrgencyRecord>();
        this.#own.set(service, records);
        const record = records.get(urgency) ?? new UrgencyRecord();
        records.set(urgency, record);
        return record;
    }

    #recentPeers(now: number): DemandReport[] {
        const reports: DemandReport[] = [];
        for (const [name, { report, at }] of this.#peers) {
            if (now - at > REPORT_LIFETIME_MILLISECONDS) {
                this.#peers.delete(name);
            }
            else {
                reports.push(report);
            }
        }
        return reports;
    }

    #recentOtherCells(now: number): DemandReport {
        const { report, at } = this.#otherCells;
        return now - at > REPORT_LIFETIME_MILLISECONDS ? {} : report;
    }
}
