import { randomBytes } from "node:crypto";
import type { Writable } from "node:stream";
import { BackendConnectionPool } from "../backends/mod.ts";
import { monotonicMilliseconds, sleep, SuspensionAwareClock } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import { Directory } from "../directory/mod.ts";
import { createLogger, type Logger } from "../logs/mod.ts";
import { ProcessMemory } from "../memory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { PeerMesh } from "../peers/mod.ts";
import { ItemReplica, ReplicaFollower } from "../replica/mod.ts";
import { ShutdownLog, TurnWatch } from "../shutdown/mod.ts";
import { computeRetryLimit } from "./_compute_retry_limit.ts";
import { createLoadPolicies } from "./_create_load_policies.ts";
import { createRateLimiter } from "./_create_rate_limiter.ts";
import { createShutdownSchedule } from "./_create_shutdown_schedule.ts";
import { StatusServers } from "./_status_servers.ts";
import { createCrashDetection } from "./create_crash_detection.ts";
import { createServerAccess } from "./create_server_access.ts";
import { drainCallers } from "./drain_callers.ts";
import { FleetReporter } from "./fleet_reporter.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { GatewayServer } from "./gateway_server.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerLoadTracker } from "./server_load_tracker.ts";
import { ServerSubset } from "./server_subset.ts";
import { StageLeadership } from "./stage_leadership.ts";
import { StoreReading } from "./store_reading.ts";

/** Longest report period in milliseconds at which peers' loads count in full; about the time of one prefill. */
const FULL_WEIGHT_REPORT_MILLISECONDS = 100;
const BYTES_PER_MEGABYTE = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * One instance of the router behind the platform's load balancer.
 *
 * @example
 * ```ts
 * const gateway = new Gateway(settings, adapter);
 * await gateway.start();
 * await gateway.shutDown();
 * ```
 */
export class Gateway {
    readonly #logger: Logger;
    readonly #metrics: Metrics;
    readonly #memory: ProcessMemory;
    readonly #clock = new SuspensionAwareClock();
    readonly #directory = new Directory();
    readonly #replica = new ItemReplica();
    readonly #connectionPool: BackendConnectionPool;
    readonly #turns = new TurnWatch();
    readonly #store: CoordinationStore;
    readonly #server: GatewayServer;
    readonly #statusServers: StatusServers;
    readonly #incarnation = randomBytes(4).toString("hex");
    readonly #serverLoads: ServerLoadTracker;
    readonly #rateLimiter: RateLimiter;
    readonly #peerMesh: PeerMesh;
    readonly #storeReading: StoreReading;
    readonly #context: GatewayContext;
    #stageLeadership: StageLeadership | undefined;
    #replicaFollower: ReplicaFollower | undefined;
    #shuttingDown = false;

    /**
     * @param settings Validated settings.
     * @param adapter The platform's names, formats and calls.
     * @param logOutput Destination of log lines. Default: standard output.
     */
    constructor(
        private settings: GatewaySettings,
        private readonly adapter: GatewayAdapter,
        logOutput: Writable = process.stdout,
    ) {
        this.#logger = createLogger(settings.name, logOutput);
        this.#metrics = new Metrics(this.#logger);
        this.#memory = new ProcessMemory(settings.memoryMegabytes * BYTES_PER_MEGABYTE, this.#metrics, this.#logger);
        this.#connectionPool = new BackendConnectionPool(settings.backendSourceAddress);
        this.#store = adapter.openStore(settings.storeAddress, this.#metrics);
        const instanceCount = () => this.instances;
        const shared = {
            directory: this.#directory,
            clock: this.#clock,
            settings: () => this.settings,
            metrics: this.#metrics,
            logger: this.#logger,
            replica: this.#replica,
            store: this.#store,
        };
        this.#storeReading = new StoreReading({
            ...shared,
            decodeItem: change => adapter.decodeItem(change),
            isReader: () => this.#peerMesh.isReader(),
            instanceCount,
        });
        this.#directory.onBatch(() => {
            this.#connectionPool.retain(new Set([...this.#directory.servers.values()].map(({ address }) => address)));
        });
        this.#serverLoads = new ServerLoadTracker(this.#directory);
        const usage = {
            self: { name: settings.name, incarnation: this.#incarnation },
            firstStart: settings.firstStart,
            instanceCount,
            isInOtherCell: (name: string) => this.#peerMesh.isInOtherCell(name),
            clock: this.#clock,
        };
        const serverAccess = createServerAccess({
            ...shared,
            connectionPool: this.#connectionPool,
            serverLoads: this.#serverLoads,
            headers: adapter.headers,
            engineProtocol: adapter.engineProtocol,
            usage,
            rankOf: server => this.#context.serverSubset.rankOf(server),
        });
        const crashDetection = createCrashDetection({
            ...shared,
            adapter,
            ...serverAccess,
            serverLoads: this.#serverLoads,
            isTopRanked: (part, count) => this.#context.serverSubset.isTopRanked(part, count),
        });
        this.#rateLimiter = createRateLimiter(usage, settings.bounds);
        const loadPolicies = createLoadPolicies(shared, this.#rateLimiter);
        const reporter = new FleetReporter({
            serverLoads: this.#serverLoads,
            rateLimiter: this.#rateLimiter,
            ...crashDetection,
            loadPolicies,
            ...serverAccess,
            versionOutcomes: serverAccess.rollouts.usage,
            stageBalancer: () => this.#stageLeadership?.balancer,
            readsStore: () => this.#replicaFollower?.connected ?? false,
        });
        this.#peerMesh = new PeerMesh({
            self: {
                name: settings.name,
                incarnation: this.#incarnation,
                address: settings.instancesAddress,
                failureDomain: settings.failureDomain,
                callersAddress: settings.callersAddress,
            },
            seedAddresses: settings.seedAddresses,
            isFirstStart: settings.firstStart,
            ...shared,
            readsStore: () => this.#replicaFollower?.connected ?? false,
            onNewerPosition: position => this.#replicaFollower?.catchUpTo(position),
            createReport: force => reporter.createReport(force),
            usageWindowMilliseconds: settings.bounds.quotaWindowSeconds * MILLISECONDS_PER_SECOND,
            onReport: report => reporter.applyReport(report),
            createCellState: () => reporter.createCellState(this.#peerMesh.cell?.members.length ?? 1),
            onFleetState: state => reporter.applyFleetState(state),
        });
        this.#context = {
            ...shared,
            headers: adapter.headers,
            engineProtocol: adapter.engineProtocol,
            encodeRolloutStatus: status => adapter.encodeRolloutStatus(status),
            serverLoads: this.#serverLoads,
            ...serverAccess,
            loadPolicies,
            retryBudget: new RetryBudget(() => computeRetryLimit(this.settings.bounds), instanceCount),
            instanceCount,
            peers: () => this.#peerMesh.peers(),
            reportPeriodMilliseconds: () => this.#peerMesh.reportPeriodMilliseconds,
            peerLoadWeight: () => this.#peerLoadWeight(),
            serverSubset: new ServerSubset(
                settings.name,
                () => this.#peerMesh.cell,
                () => this.#peerLoadWeight(),
                () => this.#peerMesh.peerNames,
            ),
            directoryUpdater: this.#storeReading.directoryUpdater,
            streamVersions: this.#storeReading.streamVersions,
            ...crashDetection,
            memory: this.#memory.budget,
        };
        this.#server = new GatewayServer(this.#context, this.#rateLimiter);
        this.#statusServers = new StatusServers(adapter.readinessPath, () => this.ready, this.#metrics, this.#logger);
    }

    /**
     * Opens the ports and starts to follow the store.
     *
     * @returns A promise that resolves once the ports are open.
     * @throws {Error} If a port stays in use.
     */
    async start(): Promise<void> {
        const { failureDomain, callersAddress, readinessAddress, metricsAddress, instancesAddress } = this.settings;
        this.#logger.info("starting", { incarnation: this.#incarnation, failureDomain, ...this.#memory.logFields() });
        const statusOpen = this.#statusServers.listen(readinessAddress, metricsAddress);
        await Promise.all([this.#server.listen(callersAddress), statusOpen]);
        await this.#peerMesh.start(instancesAddress);
        this.#replicaFollower = new ReplicaFollower(this.#replica, this.#store, {
            prefix: this.adapter.itemPrefix,
            isReader: () => this.#peerMesh.isReader(),
            awaitedReadAt: () => this.#storeReading.directoryUpdater.awaitedReadAt,
            onRead: update => this.#peerMesh.publish(update),
            clock: this.#clock,
            logger: this.#logger,
            metrics: this.#metrics,
        });
        this.#storeReading.start();
        this.#stageLeadership = new StageLeadership(this.#context, this.#store, this.#replica);
        this.#logger.info("listening", { callers: callersAddress });
    }

    /**
     * Shuts down after the active requests have ended and the last calls to the store and to peers have been made, as far as
     * the grace period allows.
     *
     * @returns A promise that resolves once the shutdown is complete.
     */
    async shutDown(): Promise<void> {
        const schedule = createShutdownSchedule(this.settings.bounds.graceSeconds, this.#turns);
        const steps = new ShutdownLog(this.#logger, this.#turns);
        this.#shuttingDown = true;
        this.#server.disableKeepAlive();
        this.#logger.info("shutting down", { requests: this.#server.active });
        const leadershipGivenUp = this.#stageLeadership?.close();
        await drainCallers(this.#server, schedule, steps, this.#logger);
        this.#server.close();
        const endBy = schedule.endOf("last calls");
        steps.begin("last calls", endBy);
        const called = Promise.all([leadershipGivenUp, this.#peerMesh.close()]);
        await Promise.race([called, sleep(endBy - monotonicMilliseconds())]);
    }

    /**
     * Stops immediately and aborts active requests.
     *
     * @returns A promise that resolves once every port is closed.
     */
    async close(): Promise<void> {
        this.#shuttingDown = true;
        this.#server.close();
        this.#context.reachability.close();
        this.#memory.close();
        this.#connectionPool.close();
        this.#turns.close();
        this.#store.close();
        await Promise.all([
            this.#replicaFollower?.close(),
            this.#storeReading.close(),
            this.#stageLeadership?.close(),
            this.#peerMesh.close(),
        ]);
        this.#statusServers.close();
    }

    /**
     * Applies changed bounds of retries, cold servers, API keys and shutdown. Other settings apply from the next start.
     *
     * @param settings Validated settings.
     */
    reload(settings: GatewaySettings): void {
        this.settings = { ...this.settings, bounds: settings.bounds };
        this.#logger.info("settings reloaded", { ...settings.bounds });
    }

    /** Number of known instances, including this one. */
    get instances(): number {
        return this.#peerMesh.instanceCount;
    }

    /** Number of requests that are being read or answered. */
    get activeRequests(): number {
        return this.#server.active;
    }

    /** Whether this instance is one of those that read the store for all instances. */
    get isStoreReader(): boolean {
        return this.#peerMesh.isReader();
    }

    /** Ids of the registered servers. */
    get serverIds(): string[] {
        return [...this.#directory.servers.keys()];
    }

    /** Version of the configuration in force; undefined before the first. */
    get configurationVersion(): number | undefined {
        return this.#directory.configuration?.version;
    }

    /** Whether the load balancer may send requests. */
    get ready(): boolean {
        return !this.#shuttingDown && this.#directory.configuration !== undefined
            && this.#storeReading.directoryUpdater.canAcceptKeys();
    }

    #peerLoadWeight(): number {
        return Math.min(1, FULL_WEIGHT_REPORT_MILLISECONDS / this.#peerMesh.reportPeriodMilliseconds);
    }
}
