import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { Writable } from "node:stream";
import { BackendConnectionPool } from "../backends/mod.ts";
import { monotonicMilliseconds, sleep, SuspensionAwareClock } from "../clocks/mod.ts";
import { type CoordinationStore, Leadership } from "../coordination/mod.ts";
import { Directory } from "../directory/mod.ts";
import { parseAddress } from "../instances/mod.ts";
import { createLogger, type Logger } from "../logs/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { type Peer, PeerMesh, type PeerReport } from "../peers/mod.ts";
import { ItemReplica, ReplicaFollower } from "../replica/mod.ts";
import { CrashRegistry } from "./crash_registry.ts";
import { DirectoryUpdater } from "./directory_updater.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { GatewayServer } from "./gateway_server.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { RateLimiter } from "./rate_limiter.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerLoadTracker } from "./server_load_tracker.ts";
import { ServerSubset } from "./server_subset.ts";
import { StageBalancer } from "./stage_balancer.ts";

/** Time in milliseconds after the signal to stop during which the balancer still sends connections. */
const LEAVE_MILLISECONDS = 2_900;
const LEAVE_STEP_MILLISECONDS = 25;
/** Time in milliseconds before the kill at which what is left is cut. */
const CUT_MARGIN_MILLISECONDS = 700;
/** Time in milliseconds that the last calls to the store and to peers may take. */
const LAST_CALLS_MILLISECONDS = 300;
/** Time in milliseconds that a server is avoided after a peer said that it is gone or changes its stage. */
const AVOIDED_MILLISECONDS = 700;
/** Part of the retries allowed besides that is used; what callers repeat while an instance restarts takes the rest. */
const USED_RETRY_SLACK_SHARE = 0.8;
/** Time in milliseconds between reports up to which peers' loads count in full; about that of one prefill. */
const FRESH_REPORT_MILLISECONDS = 100;
/** Recent failures, weighted by age, above which peers are told of a server without requests. */
const TOLD_FAILURES = 0.1;
/** Item that names the instance which orders engines to change their stage. */
const STAGE_LEADER_KEY = "laburnumslip/stage-leader";
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * One instance behind the platform's balancer.
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
    readonly #metrics = new Metrics();
    readonly #clock = new SuspensionAwareClock();
    readonly #directory = new Directory();
    readonly #replica = new ItemReplica();
    readonly #connections = new BackendConnectionPool();
    readonly #store: CoordinationStore;
    readonly #front: GatewayServer;
    readonly #readiness: Server;
    readonly #exposition: Server;
    readonly #incarnation = randomBytes(4).toString("hex");
    readonly #book: ServerLoadTracker;
    readonly #limiter: RateLimiter;
    readonly #crashes: CrashRegistry;
    readonly #mesh: PeerMesh;
    readonly #knowledge: DirectoryUpdater;
    readonly #services: GatewayContext;
    #leadership: Leadership | undefined;
    #balancer: StageBalancer | undefined;
    #lastReport = "";
    #follower: ReplicaFollower | undefined;
    #leaving = false;

    /**
     * @param settings Checked settings.
     * @param adapter The platform's names, formats and calls.
     * @param logOutput Where log lines go. Default: standard output.
     */
    constructor(
        private settings: GatewaySettings,
        private readonly adapter: GatewayAdapter,
        logOutput: Writable = process.stdout,
    ) {
        this.#logger = createLogger(settings.name, logOutput);
        this.#store = adapter.openStore(settings.storeAddress, this.#metrics);
        const instanceCount = () => this.#instanceCount();
        const { bounds } = settings;
        this.#knowledge = new DirectoryUpdater({
            decodeItem: change => adapter.decodeItem(change),
            replica: this.#replica,
            directory: this.#directory,
            clock: this.#clock,
            bounds: () => this.settings.bounds,
            metrics: this.#metrics,
            logger: this.#logger,
        });
        this.#directory.onChange(() => {
            this.#connections.retain(new Set([...this.#directory.servers.values()].map(({ address }) => address)));
        });
        this.#book = new ServerLoadTracker(this.#directory);
        this.#crashes = new CrashRegistry(this.#directory, this.#logger);
        this.#limiter = new RateLimiter({
            self: { name: settings.name, incarnation: this.#incarnation },
            windowMilliseconds: bounds.quotaWindowSeconds * MILLISECONDS_PER_SECOND,
            excess: bounds.quotaExcess,
            slack: bounds.quotaSlack,
            firstStart: settings.firstStart,
            instanceCount,
            clock: this.#clock,
        });
        this.#mesh = new PeerMesh({
            self: { name: settings.name, incarnation: this.#incarnation, address: settings.instancesAddress },
            seedAddresses: settings.seedAddresses,
            store: this.#store,
            replica: this.#replica,
            clock: this.#clock,
            metrics: this.#metrics,
            logger: this.#logger,
            readsStore: () => this.#follower?.connected ?? false,
            onNewerRevision: revision => this.#follower?.readUpTo(revision),
            createReport: force => this.#describe(force),
            onReport: report => this.#receive(report),
        });
        const services: GatewayContext = {
            settings: () => this.settings,
            headers: adapter.headers,
            engineProtocol: adapter.engineProtocol,
            directory: this.#directory,
            serverLoads: this.#book,
            connections: this.#connections,
            retries: new RetryBudget(() => this.#retryLimit(), instanceCount),
            instanceCount,
            reportPeriodMilliseconds: () => this.#mesh.reportPeriodMilliseconds,
            peerLoadWeight: () => this.#peerFreshness(),
            subset: new ServerSubset(settings.name, () => this.#peerFreshness(), () => this.#mesh.names),
            directoryUpdater: this.#knowledge,
            crashes: this.#crashes,
            clock: this.#clock,
            metrics: this.#metrics,
            logger: this.#logger,
        };
        this.#services = services;
        this.#front = new GatewayServer(services, this.#limiter);
        this.#readiness = createServer((request, response) => {
            response.writeHead(request.url === adapter.readinessPath && this.ready ? 200 : 503);
            response.end();
        });
        this.#exposition = createServer((_request, response) => {
            response.writeHead(200, { "Content-Type": "text/plain" });
            response.end(this.#metrics.render());
        });
    }

    /**
     * Opens the ports and starts to follow the store.
     *
     * @returns A promise that resolves once the ports are open.
     * @throws {Error} If a port is in use.
     */
    async start(): Promise<void> {
        this.#logger.info("starting", { incarnation: this.#incarnation, failureDomain: this.settings.failureDomain });
        this.#follower = new ReplicaFollower(this.#replica, this.#store, {
            prefix: this.adapter.itemPrefix,
            isReader: () => this.#mesh.isReader(),
            instanceCount: () => this.#instanceCount(),
            onRead: news => this.#mesh.publish(news),
            clock: this.#clock,
            logger: this.#logger,
            metrics: this.#metrics,
        });
        await this.#front.listen(this.settings.callersAddress);
        await listen(this.#readiness, this.settings.readinessAddress);
        await listen(this.#exposition, this.settings.metricsAddress);
        await this.#mesh.start(this.settings.instancesAddress);
        this.#leadership = new Leadership({
            key: STAGE_LEADER_KEY,
            self: this.settings.name,
            leaseMilliseconds: this.settings.bounds.leaseMilliseconds,
            instanceCount: () => this.#instanceCount(),
            store: this.#store,
            replica: this.#replica,
            clock: this.#clock,
            logger: this.#logger,
        });
        this.#balancer = new StageBalancer(this.#services, this.#leadership, this.settings.name);
        this.#logger.info("listening", { callers: this.settings.callersAddress });
    }

    /**
     * Stops without cutting a request, as far as the time until the kill allows. Calls to the store that are under way
     * are not awaited, since the process is about to end.
     *
     * @returns A promise that resolves once nothing is left to do.
     */
    async shutDown(): Promise<void> {
        const startedAt = monotonicMilliseconds();
        const cutAt = startedAt + this.settings.bounds.graceSeconds * MILLISECONDS_PER_SECOND - CUT_MARGIN_MILLISECONDS;
        this.#leaving = true;
        this.#front.disableKeepAlive();
        const handover = this.#handOver();
        this.#logger.info("shutting down", { requests: this.#front.active });
        while (monotonicMilliseconds() < cutAt) {
            // Callers on idle connections, and those whose answers had begun before the signal, go elsewhere.
            this.#front.closeIdle();
            await sleep(LEAVE_STEP_MILLISECONDS);
            const left = monotonicMilliseconds() - startedAt > LEAVE_MILLISECONDS;
            if (left && this.#front.active === 0) {
                break;
            }
            if (left) {
                this.#front.refuseDeadlinesAfter(cutAt);
            }
        }
        this.#front.stopAccepting();
        this.#logger.info("shut down", { requestsCut: this.#front.active });
        this.#front.close();
        await Promise.race([Promise.all([handover, this.#mesh.close()]), sleep(LAST_CALLS_MILLISECONDS)]);
    }

    /**
     * Stops at once; requests under way are cut.
     *
     * @returns A promise that resolves once every port is closed.
     */
    async close(): Promise<void> {
        this.#leaving = true;
        this.#front.close();
        this.#knowledge.close();
        this.#connections.close();
        this.#store.close();
        await Promise.all([this.#follower?.close(), this.#handOver(), this.#mesh.close()]);
        this.#readiness.close();
        this.#exposition.close();
    }

    /** Gives up what other instances may take over. */
    async #handOver(): Promise<void> {
        await this.#balancer?.close();
        await this.#leadership?.close();
    }

    /**
     * Takes changed bounds of retries, cold servers, keys and shutdown over; the rest holds until the next start.
     *
     * @param settings Checked settings.
     */
    reload(settings: GatewaySettings): void {
        this.settings = { ...this.settings, bounds: settings.bounds };
        this.#logger.info("settings reloaded", { ...settings.bounds });
    }

    /** Number of instances known, this one included. */
    get instances(): number {
        return this.#mesh.size;
    }

    /** Whether this instance is one of those that read the store for all. */
    get isStoreReader(): boolean {
        return this.#mesh.isReader();
    }

    /** Ids of the registered servers. */
    get serverIds(): string[] {
        return [...this.#directory.servers.keys()];
    }

    /** Version of the configuration in force; undefined before the first. */
    get configurationVersion(): number | undefined {
        return this.#directory.configuration?.version;
    }

    /** Whether the balancer may send requests. */
    get ready(): boolean {
        return !this.#leaving && this.#directory.configuration !== undefined && this.#knowledge.canAcceptKeys();
    }

    #retryLimit(): { ratio: number; slack: number; windowMilliseconds: number; } {
        const { retryRatio, retrySlack, retryWindowSeconds } = this.settings.bounds;
        return {
            ratio: retryRatio,
            slack: retrySlack * USED_RETRY_SLACK_SHARE,
            windowMilliseconds: retryWindowSeconds * MILLISECONDS_PER_SECOND,
        };
    }

    #peerFreshness(): number {
        return Math.min(1, FRESH_REPORT_MILLISECONDS / this.#mesh.reportPeriodMilliseconds);
    }

    #instanceCount(): number {
        return this.#mesh.size;
    }

    /** Describes this instance's load to its peers; undefined if it is as last described. */
    #describe(force: boolean): Omit<PeerReport, keyof Peer> | undefined {
        const loads: PeerReport["loads"] = {};
        for (const [id, load] of this.#book.entries()) {
            const { failures, successes } = load.outcomes;
            if (load.active > 0 || load.reservedTokens > 0 || failures > TOLD_FAILURES) {
                const { active, reservedTokens, prefillTokens } = load;
                loads[id] = [active, reservedTokens, prefillTokens, Number(failures.toFixed(1)), Math.round(successes)];
            }
        }
        const spent = this.#limiter.report();
        const readsStore = this.#follower?.connected ?? false;
        const text = JSON.stringify([loads, spent.spending, readsStore]);
        if (!force && text === this.#lastReport) {
            return undefined;
        }
        this.#lastReport = text;
        return {
            readsStore,
            loads,
            changing: this.#balancer?.changing() ?? [],
            gone: this.#book.gone(),
            crashes: this.#crashes.recent(),
            ...spent,
        };
    }

    #receive(report: PeerReport): void {
        this.#book.setPeerLoads(report.name, report.loads);
        [...report.changing, ...report.gone].forEach(id => this.#book.avoid(id, AVOIDED_MILLISECONDS));
        report.crashes.forEach(([fingerprint, server]) => this.#crashes.recordPeerCrash(fingerprint, server));
        this.#limiter.recordPeerReport(report.name, report.incarnation, report);
    }
}

async function listen(server: Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    server.listen(port, host);
    await once(server, "listening");
}
