import type { UsageSummary } from "../peers/mod.ts";
import { addUnits } from "./_add_units.ts";
import { admittedWithin } from "./_admitted_within.ts";
import { computeSilentUsage } from "./_compute_silent_usage.ts";
import { createUsageSummary } from "./_create_usage_summary.ts";
import { demandWindowMilliseconds } from "./_demand_window_milliseconds.ts";
import type { PeerUsage } from "./_peer_usage.ts";
import { UsageWindows } from "./_usage_windows.ts";
import type { SharedUsageOptions } from "./shared_usage_options.ts";
import type { SpendingReport } from "./spending_report.ts";

/** Age in milliseconds above which a peer's report counts as stale. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;
/** Time in milliseconds allowed for the way of a peer's report, in which the peer may have admitted more. */
const REPORT_TRANSIT_MILLISECONDS = 50;
/** The same for the usage of other cells, which passes their primary and this cell's. */
const CELL_TRANSIT_MILLISECONDS = 3 * REPORT_TRANSIT_MILLISECONDS;
/** Time in milliseconds for which an instance that has fallen silent may have gone on after its last report. */
const UNREPORTED_MILLISECONDS = 500;
/** Time in milliseconds for which it is remembered which peers' reports count. */
const MEMBERS_LIFETIME_MILLISECONDS = 5;

/**
 * Counts what all instances together use of limits in a sliding window. Each instance counts its own usage, that which
 * the members of its cell report, and the sums of the other cells. A peer without a recent report is assumed to use at
 * least an equal share of the limit, so that the sides of a network partition together keep to it. The usage of a
 * process counts until it has left the window, even if the process has ended: its peers remember it and report it to
 * processes that started later.
 *
 * @example
 * ```ts
 * const usage = new SharedUsage(options);
 * const takeBack = usage.add("acme", 100);
 * usage.sum("acme") + usage.usageOfOthers("acme", 8_000).spent;
 * takeBack(); // if the units were not used
 * ```
 */
export class SharedUsage {
    readonly #usageWindows: UsageWindows;
    readonly #requestedUnits = new UsageWindows(demandWindowMilliseconds);
    readonly #peerReports = new Map<string, PeerUsage>();
    /** Last reported usage of processes that have ended. */
    readonly #endedProcesses = new Map<string, Pick<PeerUsage, "spending" | "at"> & { instance: string; }>();
    /** Usage by the other cells, and the time at which it was received. */
    #cellUsage: { usage: UsageSummary[]; at: number; } = { usage: [], at: 0 };
    readonly #startedAt: number;
    #version = 0;
    #cellReports: { at: number; version: number; reports: [string, PeerUsage][]; } = {
        at: 0,
        version: -1,
        reports: [],
    };

    /**
     * @param options Dependencies, and the window.
     */
    constructor(private readonly options: SharedUsageOptions) {
        this.#startedAt = options.clock.now();
        this.#usageWindows = new UsageWindows(options.windowMilliseconds);
    }

    /** Number that changes with each report of a peer. */
    get version(): number {
        return this.#version;
    }

    /** Last usage by the instances of other cells. */
    get otherCells(): readonly UsageSummary[] {
        return this.#cellUsage.usage;
    }

    /**
     * Reports the usage in the window to peers.
     *
     * @returns The usage of this process and of the ended processes that it remembers.
     */
    report(): SpendingReport {
        const now = this.options.clock.now();
        this.#removeExpired(now);
        const ended: SpendingReport["ended"] = {};
        for (const [process, { spending: spent, at }] of this.#endedProcesses) {
            ended[process] = [Math.round(now - at), spent];
        }
        return {
            spending: this.#usageWindows.sums(now),
            asked: this.#requestedUnits.sums(now),
            assumedShare: Number(this.#assumedShare(now).toFixed(2)),
            ended,
        };
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
        this.#version++;
        this.#peerReports.set(name, { incarnation, spending, asked, assumedShare, at: now });
        this.#endedProcesses.delete(`${name}/${incarnation}`);
        if (previous && previous.incarnation !== incarnation) {
            // The former process may have gone on for a time after its last report.
            const spent = { ...previous.spending };
            addUnits(spent, previous.asked, admittedWithin(1, UNREPORTED_MILLISECONDS));
            this.#recordEnded(name, previous.incarnation, spent, previous.at);
        }
        for (const [process, [age, units]] of Object.entries(report.ended)) {
            const separator = process.lastIndexOf("/");
            this.#recordEnded(process.slice(0, separator), process.slice(separator + 1), units, now - age);
        }
    }

    /**
     * Replaces the usage by the instances of other cells.
     *
     * @param usage Their usage; parts whose instances do not report are marked as missing.
     */
    recordCellUsage(usage: UsageSummary[]): void {
        this.#version++;
        // Replaced processes may be remembered for longer than this window.
        const recent = usage.filter(({ age }) => age <= this.options.windowMilliseconds);
        this.#cellUsage = { usage: recent, at: this.options.clock.now() };
    }

    /**
     * Sums up the usage by this instance's cell for other cells.
     *
     * @param cellInstances Number of instances in the cell, this one included.
     * @returns The usage by instances that report, and that by those that do not.
     */
    summarise(cellInstances: number): UsageSummary[] {
        const now = this.options.clock.now();
        this.#removeExpired(now);
        const live = createUsageSummary(1, this.#usageWindows.sums(now), this.#requestedUnits.sums(now));
        live.assumedShare = this.#assumedShare(now);
        const missing = { ...createUsageSummary(0, {}, {}), missing: true };
        const restarted = new Set<string>();
        for (const { instance, spending } of this.#endedProcesses.values()) {
            restarted.add(instance);
            addUnits(live.spending, spending, 1);
        }
        for (const [name, { spending, asked, assumedShare, at }] of this.#findCellReports(now)) {
            if (now - at > REPORT_LIFETIME_MILLISECONDS) {
                addUnits(missing.spending, spending, 1);
                addUnits(missing.asked, asked, 1);
                continue;
            }
            live.instances++;
            live.assumedShare += restarted.has(name) ? 0 : assumedShare;
            addUnits(live.spending, spending, 1);
            addUnits(live.spending, asked, admittedWithin(1, now - at + REPORT_TRANSIT_MILLISECONDS));
            addUnits(live.asked, asked, 1);
        }
        missing.instances = Math.max(0, cellInstances - live.instances);
        const hasMissing = missing.instances > 0 || Object.keys(missing.spending).length > 0;
        return hasMissing ? [live, missing] : [live];
    }

    /**
     * Counts units that this process uses.
     *
     * @param key Name of what is limited.
     * @param units The units.
     * @returns A function that takes the units back.
     */
    add(key: string, units: number): () => void {
        return this.#usageWindows.add(key, units, this.options.clock.now());
    }

    /**
     * Counts units that are requested from this process, including those that it will refuse.
     *
     * @param key Name of what is limited.
     * @param units The units.
     */
    ask(key: string, units: number): void {
        this.#requestedUnits.add(key, units, this.options.clock.now());
    }

    /**
     * Returns the units that this process has used in the window.
     *
     * @param key Name of what is limited.
     * @returns The units.
     */
    sum(key: string): number {
        return this.#usageWindows.sum(key, this.options.clock.now());
    }

    /**
     * Returns the usage in the window by peers and by ended processes, including earlier processes of this instance.
     *
     * @param key Name of what is limited.
     * @param limit Units that all instances together may use in the window.
     * @returns The usage, and the number of peers without a recent report.
     */
    usageOfOthers(key: string, limit: number): { spent: number; missing: number; } {
        const now = this.options.clock.now();
        this.#removeExpired(now);
        const instanceCount = this.options.instanceCount();
        const share = limit / instanceCount;
        const instancesWithEndedProcess = new Set<string>();
        let spent = 0;
        for (const { instance, spending } of this.#endedProcesses.values()) {
            instancesWithEndedProcess.add(instance);
            spent += spending[key] ?? 0;
        }
        const silent: { instances: number; spent: number; }[] = [];
        let reporting = 0;
        for (const [name, { spending, asked, assumedShare, at }] of this.#findCellReports(now)) {
            const reported = spending[key] ?? 0;
            const requested = asked[key] ?? 0;
            if (now - at > REPORT_LIFETIME_MILLISECONDS) {
                silent.push({ instances: 1, spent: reported + admittedWithin(requested, UNREPORTED_MILLISECONDS) });
                continue;
            }
            reporting++;
            const admittedSince = admittedWithin(requested, now - at + REPORT_TRANSIT_MILLISECONDS);
            spent += reported + admittedSince + (instancesWithEndedProcess.has(name) ? 0 : share * assumedShare);
        }
        const receivedBefore = now - this.#cellUsage.at;
        for (const { instances, spending, asked, assumedShare, age, missing } of this.#cellUsage.usage) {
            const reported = spending[key] ?? 0;
            const requested = asked[key] ?? 0;
            if (missing || age + receivedBefore > REPORT_LIFETIME_MILLISECONDS) {
                silent.push({ instances, spent: reported + admittedWithin(requested, UNREPORTED_MILLISECONDS) });
                continue;
            }
            reporting += instances;
            const admittedSince = admittedWithin(requested, age + receivedBefore + CELL_TRANSIT_MILLISECONDS);
            spent += reported + admittedSince + share * assumedShare;
        }
        const missing = Math.max(0, instanceCount - 1 - reporting);
        const ownFormerUsage = share * this.#assumedShare(now);
        return { spent: spent + computeSilentUsage(silent, missing, share) + ownFormerUsage, missing };
    }

    /** Last reports of the peers whose usage does not arrive in the sum of another cell. */
    #findCellReports(now: number): [string, PeerUsage][] {
        const { at, version } = this.#cellReports;
        if (version !== this.#version || now - at >= MEMBERS_LIFETIME_MILLISECONDS) {
            const reports = [...this.#peerReports].filter(([name]) => !this.options.isInOtherCell(name));
            this.#cellReports = { at: now, version: this.#version, reports };
        }
        return this.#cellReports.reports;
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
        for (const [key, spent] of Object.entries(spending)) {
            known.spending[key] = Math.max(known.spending[key] ?? 0, spent);
        }
    }

    #removeExpired(now: number): void {
        const oldest = now - this.options.windowMilliseconds;
        if (this.#cellUsage.at < oldest) {
            this.#cellUsage = { usage: [], at: now };
        }
        for (const map of [this.#peerReports, this.#endedProcesses]) {
            for (const [key, { at }] of map) {
                if (at < oldest) {
                    map.delete(key);
                    this.#version++;
                }
            }
        }
    }
}
