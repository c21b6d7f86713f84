import { err, ok, type Result } from "neverthrow";
import type { OrganisationProfile } from "../directory/mod.ts";
import { SlidingWindowCounter } from "./_sliding_window_counter.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { RateLimitCharge } from "./rate_limit_charge.ts";
import type { RateLimiterOptions } from "./rate_limiter_options.ts";
import type { SpendingReport } from "./spending_report.ts";

/** Age in milliseconds above which a peer's report counts as stale. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;
/** Fractions of the permitted excess that are used; the rest covers what peers admit until their reports arrive. */
const USED_EXCESS_FRACTION = 0.7;
const USED_SLACK_FRACTION = 0.7;
/** Length in milliseconds of the window in which the units that organisations request are counted. */
const DEMAND_WINDOW_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Last report of a running process. */
interface PeerUsage {
    incarnation: string;
    spending: Record<string, number>;
    asked: Record<string, number>;
    assumedShare: number;
    /** Time of the report in milliseconds, by the limiter's clock. */
    at: number;
}

/** Last reported usage of a process that has ended. */
interface EndedProcessUsage {
    instance: string;
    spending: Record<string, number>;
    /** Time of the report in milliseconds, by the limiter's clock. */
    at: number;
}

/**
 * Enforces the rate limits of organisations across all instances. Each instance counts its own charges and those that
 * its peers report. A peer without a recent report is assumed to use at least an equal share of the limit, so that the
 * sides of a network partition together admit no more than the limit. The usage of a process counts until it has left
 * the window, even if the process has ended: its peers remember it and report it to processes that started later.
 *
 * @example
 * ```ts
 * const limiter = new RateLimiter(options);
 * const charge = limiter.charge(request);
 * charge.map(({ refund }) => refund()); // if no server ran the request
 * ```
 */
export class RateLimiter {
    readonly #usageWindows = new Map<string, SlidingWindowCounter>();
    readonly #requestedUnits = new Map<string, SlidingWindowCounter>();
    readonly #peerReports = new Map<string, PeerUsage>();
    readonly #endedProcesses = new Map<string, EndedProcessUsage>();
    readonly #startedAt: number;

    /**
     * @param options Dependencies of the limiter.
     */
    constructor(private readonly options: RateLimiterOptions) {
        this.#startedAt = options.clock.now();
    }

    /**
     * Reports the usage in the window to peers.
     *
     * @returns The usage of this process and of the ended processes that it remembers.
     */
    report(): SpendingReport {
        const now = this.options.clock.now();
        this.#removeExpired(now);
        const spending = sumWindows(this.#usageWindows, now);
        const requested = sumWindows(this.#requestedUnits, now);
        const ended: SpendingReport["ended"] = {};
        for (const [process, { spending: spent, at }] of this.#endedProcesses) {
            ended[process] = [Math.round(now - at), spent];
        }
        return { spending, asked: requested, assumedShare: Number(this.#assumedShare(now).toFixed(2)), ended };
    }

    /**
     * Records the report of a peer.
     *
     * @param name Name of the peer.
     * @param incarnation Incarnation of its process.
     * @param report The report.
     */
    recordPeerReport(name: string, incarnation: string, report: SpendingReport): void {
        const now = this.options.clock.now();
        const previous = this.#peerReports.get(name);
        const { spending, asked, assumedShare } = report;
        this.#peerReports.set(name, { incarnation, spending, asked, assumedShare, at: now });
        this.#endedProcesses.delete(`${name}/${incarnation}`);
        if (previous && previous.incarnation !== incarnation) {
            this.#recordEnded(name, previous.incarnation, previous.spending, previous.at);
        }
        for (const [process, [age, spent]] of Object.entries(report.ended)) {
            const separator = process.lastIndexOf("/");
            this.#recordEnded(process.slice(0, separator), process.slice(separator + 1), spent, now - age);
        }
    }

    /**
     * Charges a request to its organisation.
     *
     * @param request The request.
     * @returns The charge, or a refusal if the request exceeds the limit.
     */
    charge(request: GatewayRequest): Result<RateLimitCharge, GatewayRefusal> {
        const { organisation } = request;
        if (!organisation || organisation.ratePerSecond <= 0) {
            return ok({ refund: () => {} });
        }
        const now = this.options.clock.now();
        const cost = computeCost(organisation, request);
        const { excess, slack, windowMilliseconds } = this.options;
        const window = getWindow(this.#usageWindows, organisation.name, windowMilliseconds);
        getWindow(this.#requestedUnits, organisation.name, DEMAND_WINDOW_MILLISECONDS).add(cost, now);
        const limit = organisation.ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND + organisation.burst;
        const allowed = limit * (1 + excess * USED_EXCESS_FRACTION) + slack * USED_SLACK_FRACTION;
        const spent = window.sum(now) + this.#usageOfOthers(organisation.name, limit, now);
        if (spent + cost > allowed) {
            return err({
                status: 429,
                reason: "over-limit",
                verdict: "not-run",
                message: `Organisation ${organisation.name} is over its limit: ${Math.round(spent)} of ${
                    Math.round(allowed)
                }`,
                retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
            });
        }
        return ok({ refund: window.add(cost, now) });
    }

    /** Usage in the window by peers and by ended processes, including earlier processes of this instance. */
    #usageOfOthers(organisation: string, limit: number, now: number): number {
        this.#removeExpired(now);
        const share = limit / this.options.instanceCount();
        const instancesWithEndedProcess = new Set<string>();
        let spent = 0;
        for (const { instance, spending } of this.#endedProcesses.values()) {
            instancesWithEndedProcess.add(instance);
            spent += spending[organisation] ?? 0;
        }
        const staleUsages: number[] = [];
        let reportingPeerCount = 0;
        for (const [name, { spending, asked, assumedShare, at }] of this.#peerReports) {
            const reported = spending[organisation] ?? 0;
            if (now - at > REPORT_LIFETIME_MILLISECONDS) {
                staleUsages.push(reported);
                continue;
            }
            reportingPeerCount++;
            // The peer may have admitted everything that was requested since its report.
            const admittedSince = (asked[organisation] ?? 0) * (now - at) / DEMAND_WINDOW_MILLISECONDS;
            spent += reported + admittedSince + (instancesWithEndedProcess.has(name) ? 0 : share * assumedShare);
        }
        const missingPeerCount = Math.max(0, this.options.instanceCount() - 1 - reportingPeerCount);
        // Peers without a recent report beyond the expected number have ended; their usage still counts.
        staleUsages.sort((left, right) => right - left);
        for (let index = 0; index < Math.max(missingPeerCount, staleUsages.length); index++) {
            spent += Math.max(staleUsages[index] ?? 0, index < missingPeerCount ? share : 0);
        }
        return spent + share * this.#assumedShare(now);
    }

    /**
     * Fraction of an equal share that an earlier process of this instance is assumed to have used; 0 once a peer has
     * reported its usage, or if the fleet starts for the first time.
     */
    #assumedShare(now: number): number {
        const { self, firstStart, windowMilliseconds } = this.options;
        const reported = [...this.#endedProcesses.values()].some(({ instance }) => instance === self.name);
        return firstStart || reported ? 0 : Math.max(0, 1 - (now - this.#startedAt) / windowMilliseconds);
    }

    #recordEnded(instance: string, incarnation: string, spending: Record<string, number>, at: number): void {
        const { self } = this.options;
        const process = `${instance}/${incarnation}`;
        const running = instance === self.name
            ? incarnation === self.incarnation
            : this.#peerReports.get(instance)?.incarnation === incarnation;
        const known = this.#endedProcesses.get(process);
        if (running) {
            return;
        }
        if (!known) {
            this.#endedProcesses.set(process, { instance, spending: { ...spending }, at });
            return;
        }
        // Keeps the known age, since reports that peers exchange must not make the usage look newer.
        for (const [organisation, spent] of Object.entries(spending)) {
            known.spending[organisation] = Math.max(known.spending[organisation] ?? 0, spent);
        }
    }

    #removeExpired(now: number): void {
        const oldest = now - this.options.windowMilliseconds;
        for (const map of [this.#peerReports, this.#endedProcesses]) {
            for (const [key, { at }] of map) {
                if (at < oldest) {
                    map.delete(key);
                }
            }
        }
    }
}

function getWindow(
    windows: Map<string, SlidingWindowCounter>,
    organisation: string,
    milliseconds: number,
): SlidingWindowCounter {
    const window = windows.get(organisation) ?? new SlidingWindowCounter(milliseconds);
    windows.set(organisation, window);
    return window;
}

function sumWindows(windows: Map<string, SlidingWindowCounter>, now: number): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const [organisation, window] of windows) {
        const sum = window.sum(now);
        if (sum > 0) {
            sums[organisation] = Math.round(sum);
        }
    }
    return sums;
}

function computeCost(organisation: OrganisationProfile, request: GatewayRequest): number {
    if (!organisation.countsTokens) {
        return 1;
    }
    const tokens = request.promptTokens + request.outputTokens;
    return tokens > 0 ? tokens : organisation.defaultRequestTokens;
}
