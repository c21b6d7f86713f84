import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { LoadPolicies } from "../decisions/mod.ts";
import type { CellState, Peer, PeerReport } from "../peers/mod.ts";
import type { PromptPartRegistry } from "../prompt_parts/mod.ts";
import type { ReachabilityMonitor } from "../reachability/mod.ts";
import type { EngineSpeeds } from "../speeds/mod.ts";
import type { StageWork } from "../stages/mod.ts";
import { usedByAll } from "./_used_by_all.ts";
import type { CrashRegistry } from "./crash_registry.ts";
import type { LeavingServers } from "./leaving_servers.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import type { ServerLimits } from "./server_limits.ts";
import type { ServerLoad } from "./server_load.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";
import type { SharedUsage } from "./shared_usage.ts";
import type { SpendingReport } from "./spending_report.ts";
import type { StageBalancer } from "./stage_balancer.ts";

/** Time in milliseconds that a server is avoided after a peer reported it as terminated or changing its stage. */
const AVOIDED_MILLISECONDS = 700;
/** Recent failures, weighted by age, above which a server without requests is still reported to peers. */
const REPORTED_FAILURES = 0.1;

/** Dependencies of {@linkcode FleetReporter}. */
interface FleetReporterOptions {
    serverLoads: ServerLoadTracker;
    rateLimiter: RateLimiter;
    loadPolicies: LoadPolicies;
    crashRegistry: CrashRegistry;
    promptParts: PromptPartRegistry;
    leavingServers: LeavingServers;
    serverLimits: ServerLimits;
    engineSpeeds: EngineSpeeds;
    stageWork: StageWork | undefined;
    reachability: ReachabilityMonitor;
    /** Outcomes of requests while roll-outs last. */
    versionOutcomes: SharedUsage;
    /** Undefined before the instance has started. */
    stageBalancer(): StageBalancer | undefined;
    /** Whether the last read of the store succeeded. */
    readsStore(): boolean;
}

/**
 * Creates what this instance reports to others, and applies what they report to its loads, limits and crashes.
 *
 * @example
 * ```ts
 * const reporter = new FleetReporter(options);
 * const report = reporter.createReport(true);
 * ```
 */
export class FleetReporter {
    #lastReport = "";
    /** Failures by server as they stood before the links to servers became suspect. */
    readonly #soundFailures = new Map<string, number>();

    /**
     * @param options Dependencies of the reporter.
     */
    constructor(private readonly options: FleetReporterOptions) {}

    /**
     * Creates the report for the members of the cell.
     *
     * @param force Whether a report is created although nothing has changed.
     * @returns The report; undefined if it has not changed since the last one.
     */
    createReport(force: boolean): Omit<PeerReport, keyof Peer> | undefined {
        const { serverLoads, rateLimiter, serverLimits, crashRegistry, promptParts, stageBalancer, readsStore } =
            this.options;
        const { loadPolicies, reachability } = this.options;
        const loads: PeerReport["loads"] = {};
        const { isSuspected } = reachability;
        if (!isSuspected) {
            this.#soundFailures.clear();
        }
        for (const [id, load] of serverLoads.entries()) {
            const { successes } = load.outcomes;
            const failures = this.#failuresOf(id, load, isSuspected);
            if (load.active > 0 || load.reservedTokens > 0 || failures > REPORTED_FAILURES) {
                const { active, reservedTokens, prefillTokens } = load;
                loads[id] = [active, reservedTokens, prefillTokens, Number(failures.toFixed(1)), Math.round(successes)];
            }
        }
        const usage = rateLimiter.report();
        const serverUsage = serverLimits.usage.report();
        const versionOutcomes = this.options.versionOutcomes.report();
        const state = {
            readsStore: readsStore(),
            serversReachable: reachability.report(),
            loads,
            changing: stageBalancer()?.changing() ?? [],
            ...reportGone(serverLoads),
            leaving: this.options.leavingServers.firsthand(),
            crashes: crashRegistry.recent(),
            // Left out of the message where it is undefined.
            speeds: this.options.engineSpeeds.report(),
        };
        const now = monotonicMilliseconds();
        const demand = loadPolicies.demand.report(now);
        const waiting = Object.values(demand ?? {}).flat().map(([, requests]) => requests);
        // The ages in the reports on prompt parts and limits change all the time, so their versions are compared; so
        // do the rates in the demand.
        const versions = [promptParts.version, serverLimits.version, ...waiting];
        const serialised = JSON.stringify([
            state,
            usage.spending,
            serverUsage.spending,
            versionOutcomes.spending,
            versions,
        ]);
        if (!force && serialised === this.#lastReport) {
            return undefined;
        }
        this.#lastReport = serialised;
        const limits = { serverUsage, serverLimits: serverLimits.notices() };
        const outcomes = hasOutcomes(versionOutcomes) ? { versionOutcomes } : {};
        // Changes with age alone, so it causes no report.
        const stageWork = this.options.stageWork?.report(now);
        return {
            ...state,
            ...usage,
            ...limits,
            ...outcomes,
            promptParts: promptParts.createReport(),
            demand,
            stageWork,
        };
    }

    /**
     * Applies the report of a member of the cell.
     *
     * @param report The report.
     */
    applyReport(report: PeerReport): void {
        const { serverLoads, rateLimiter, serverLimits, loadPolicies, versionOutcomes } = this.options;
        serverLoads.setPeerLoads(report.name, report.loads);
        this.options.engineSpeeds.applyReport(report.name, report.speeds);
        this.#applyServerStates(report);
        const now = monotonicMilliseconds();
        loadPolicies.demand.recordPeer(report.name, report.demand, now);
        this.options.stageWork?.applyReport(report.name, report.stageWork, now);
        rateLimiter.recordPeerReport(report.name, report.incarnation, report);
        if (report.serverUsage) {
            serverLimits.usage.recordPeerReport(report.name, report.incarnation, report.serverUsage);
        }
        if (report.versionOutcomes) {
            versionOutcomes.recordPeerReport(report.name, report.incarnation, report.versionOutcomes);
        }
    }

    /**
     * Creates the state of this instance's cell for the other cells.
     *
     * @param cellInstances Number of instances in the cell, this one included.
     * @returns The state, from what its members have reported.
     */
    createCellState(cellInstances: number): CellState {
        const { serverLoads, rateLimiter, serverLimits, crashRegistry, promptParts, stageBalancer } = this.options;
        return {
            usage: rateLimiter.summarise(cellInstances),
            serverUsage: serverLimits.usage.summarise(cellInstances),
            versionOutcomes: Object.keys(usedByAll(this.options.versionOutcomes)).length > 0
                ? this.options.versionOutcomes.summarise(cellInstances)
                : [],
            serverLimits: serverLimits.notices(),
            stageLoads: stageBalancer()?.cellLoads() ?? {},
            changing: stageBalancer()?.changing() ?? [],
            ...reportGone(serverLoads),
            leaving: this.options.leavingServers.firsthand(),
            crashes: crashRegistry.recent(),
            promptParts: promptParts.createReport(),
            demand: this.options.loadPolicies.demand.summarise(monotonicMilliseconds()),
        };
    }

    /**
     * Applies the state of all other cells.
     *
     * @param state The state.
     */
    applyFleetState(state: CellState): void {
        this.#applyServerStates(state);
        this.options.loadPolicies.demand.recordOtherCells(state.demand, monotonicMilliseconds());
        this.options.rateLimiter.recordCellUsage(state.usage);
        this.options.serverLimits.usage.recordCellUsage(state.serverUsage);
        this.options.versionOutcomes.recordCellUsage(state.versionOutcomes);
        this.options.stageBalancer()?.recordOtherCells(state.stageLoads);
    }

    /** What an instance sees fail while it may be isolated says nothing of the servers. */
    #failuresOf(id: string, { outcomes: { failures } }: ServerLoad, isSuspected: boolean): number {
        if (isSuspected) {
            return Math.min(failures, this.#soundFailures.get(id) ?? 0);
        }
        if (failures > REPORTED_FAILURES) {
            this.#soundFailures.set(id, failures);
        }
        return failures;
    }

    #applyServerStates(
        state: Omit<CellState, "usage" | "serverUsage" | "stageLoads" | "demand" | "versionOutcomes">,
    ): void {
        const { changing, gone, goneStarts, leaving, crashes } = state;
        const named = new Set(goneStarts.map(([id]) => id));
        const { serverLoads, crashRegistry, promptParts, leavingServers } = this.options;
        this.options.serverLimits.recordPeerNotices(state.serverLimits);
        leaving.forEach(([id, startedAt]) => leavingServers.record({ id, startedAt }, "peer"));
        // Earlier programs name no starts.
        const unnamed = gone.filter(id => !named.has(id));
        [...changing, ...unnamed].forEach(id => serverLoads.avoid(id, AVOIDED_MILLISECONDS));
        serverLoads.avoidGone(goneStarts, AVOIDED_MILLISECONDS);
        crashes.forEach(([fingerprint, server]) => crashRegistry.recordPeerCrash(fingerprint, server));
        promptParts.applyReport(state.promptParts);
    }
}

/** Servers that are gone, for earlier programs without their starts. */
function reportGone(serverLoads: ServerLoadTracker): Pick<CellState, "gone" | "goneStarts"> {
    const goneStarts = serverLoads.gone();
    return { gone: goneStarts.map(([id]) => id), goneStarts };
}

/** Whether requests were counted by a process that reports or by one that it remembers. */
function hasOutcomes({ spending, ended }: SpendingReport): boolean {
    return [spending, ...Object.values(ended).map(([, units]) => units)].some(units => Object.keys(units).length > 0);
}
