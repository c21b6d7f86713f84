import { randomBytes } from "node:crypto";
import { readFile } from "node:fs/promises";
import { ActiveRequests, CallerServer, ModelHandler, ServiceHandler } from "../callers/mod.ts";
import { PeriodicTask, sleep } from "../clocks/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import { EnginePool } from "../engines/mod.ts";
import { ConfigurationFollower, Heartbeats } from "../fleet/mod.ts";
import { HomeManager } from "../homes/mod.ts";
import { HttpInstanceList } from "../instance_list/mod.ts";
import { instanceId, InstancePool, InstanceServer } from "../instances/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { HomedLimitShares, OrganisationLimiter } from "../limits/mod.ts";
import { createLogger, type Logger } from "../logs/mod.ts";
import { type Member, Membership } from "../membership/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { HomedOnceShards, OnceClient } from "../once/mod.ts";
import { createPlacementPolicy } from "../placement/mod.ts";
import { HomedServerLedgers, ReservationClient } from "../reservations/mod.ts";
import { ModelRouter } from "../routing/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { HttpStore } from "../store/mod.ts";
import { SuspectRegistry } from "../suspects/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { LoadReports } from "./_load_reports.ts";
import { registerOperatorCalls } from "./_operator_calls.ts";

const FRESHNESS_CHECK_MILLISECONDS = 500;
/** Longest time in milliseconds that an instance which hears nobody accepts keys. */
const ISOLATION_MILLISECONDS = 5_000;
const OUTCOME_GRACE_MILLISECONDS = 5_000;

/**
 * One instance: the front door for callers and the home of a part of the shared state.
 *
 * @example
 * ```ts
 * const instance = await Instance.create(settings);
 * await instance.start();
 * await instance.shutDown();
 * ```
 */
export class Instance {
    readonly #logger: Logger;
    readonly #metrics = new Metrics();
    readonly #active = new ActiveRequests();
    readonly #store: HttpStore;
    readonly #instanceList: HttpInstanceList;
    readonly #server: InstanceServer;
    readonly #pool: InstancePool;
    readonly #engines = new EnginePool();
    readonly #configuration: ConfigurationState;
    readonly #membership: Membership;
    readonly #follower: ConfigurationFollower;
    readonly #heartbeats: Heartbeats;
    readonly #homes: HomeManager;
    readonly #serverState: HomedServerLedgers;
    readonly #once: OnceClient;
    readonly #callers: CallerServer;
    readonly #loadReports: LoadReports | undefined;
    #freshness: PeriodicTask | undefined;
    #surveyed = false;
    #shuttingDown = false;

    /**
     * @param settings Settings of the instance.
     * @param secret Secret shared by all instances and operators.
     * @param tls Certificate and key for callers.
     */
    constructor(
        private readonly settings: Settings,
        secret: string,
        tls: { cert: Buffer; key: Buffer; } | undefined,
    ) {
        const self: Member = {
            name: settings.name,
            incarnation: randomBytes(4).toString("hex"),
            address: settings.instancesAddress,
            failureDomain: settings.failureDomain,
        };
        const metrics = this.#metrics;
        const logger = createLogger(settings.name);
        this.#logger = logger;
        const invariants = new Invariants(metrics, logger, settings.stopOnViolation);
        this.#store = new HttpStore(settings.storeAddress, {
            onCall: (kind, result) => metrics.increment("store_calls_total", { kind, result }),
        });
        this.#instanceList = new HttpInstanceList(settings.instanceListAddress);
        this.#server = new InstanceServer(self, secret, { metrics, logger });
        this.#pool = new InstancePool(self, secret, metrics, this.#server);
        this.#configuration = new ConfigurationState(invariants);
        this.#membership = new Membership(self, {
            store: this.#store,
            pool: this.#pool,
            instanceList: this.#instanceList,
            metrics,
            logger,
            invariants,
        });
        const shared = {
            configuration: this.#configuration,
            membership: this.#membership,
            pool: this.#pool,
            server: this.#server,
            engines: this.#engines,
            store: this.#store,
            invariants,
            metrics,
            logger,
        };
        this.#follower = new ConfigurationFollower(shared);
        this.#heartbeats = new Heartbeats(shared);
        const shareState = new HomedLimitShares(this.#configuration, this.#server, invariants);
        const suspects = new SuspectRegistry(shared);
        this.#serverState = new HomedServerLedgers({
            ...shared,
            reportCrash: (fingerprint, server, role) => {
                void suspects.report(fingerprint, server, role);
            },
        });
        this.#homes = new HomeManager([shareState, this.#serverState], shared);
        const onceState = new HomedOnceShards(this.#store, this.#server, this.#membership);
        this.#once = new OnceClient(this.#membership, this.#pool, logger);
        const reservations = new ReservationClient(this.#membership, this.#pool, this.#server);
        const policy = createPlacementPolicy(settings.policy);
        const limiter = new OrganisationLimiter(this.#membership, this.#pool, this.#configuration);
        const failureDomain = settings.failureDomain;
        const router = new ModelRouter({
            ...shared,
            limiter,
            reservations,
            suspects,
            policy,
            failureDomain,
        });
        this.#loadReports = policy.needsLoadReports
            ? new LoadReports(this.#configuration, this.#engines, reservations)
            : undefined;
        this.#callers = new CallerServer({
            ...shared,
            settings,
            tls,
            instanceId: instanceId(self),
            models: new ModelHandler({ ...shared, router }),
            serviceHandler: new ServiceHandler({ ...shared, once: this.#once }),
            active: this.#active,
            notReadyReason: () => this.#unready(),
            keyedRequestRefusal: () => this.#keysRefused(),
        });
        registerOperatorCalls({
            ...shared,
            follower: this.#follower,
            heartbeats: this.#heartbeats,
            homes: this.#homes,
            serverState: this.#serverState,
        });
        this.#registerGauges(shareState, onceState, reservations);
        this.#configuration.onChange(document => {
            this.#active.abortRevoked(document);
            const addresses = Object.values(document.backendServers).map(({ address }) => address);
            this.#engines.retain(new Set(addresses));
        });
    }

    /**
     * Reads the files that the settings name and creates the instance.
     *
     * @param settings Checked settings.
     * @returns The instance, not yet started.
     * @throws {Error} If a file cannot be read.
     */
    static async create(settings: Settings): Promise<Instance> {
        const secret = (await readFile(settings.secretFile, "utf8")).trim();
        const tls = settings.tls
            ? { cert: await readFile(settings.tls.certificateFile), key: await readFile(settings.tls.keyFile) }
            : undefined;
        return new Instance(settings, secret, tls);
    }

    /**
     * Opens the ports and joins the fleet.
     *
     * @returns A promise that resolves once the ports are open; the instance is ready when `/readyz` says so.
     * @throws {Error} If a port is in use.
     */
    async start(): Promise<void> {
        // The port for instances opens before anything is claimed: a refused connection proves that nothing is held.
        await this.#server.listen(this.settings.instancesListenAddress ?? this.settings.instancesAddress);
        await this.#callers.listen();
        this.#membership.start();
        this.#follower.start();
        this.#heartbeats.start();
        this.#homes.start();
        this.#freshness = new PeriodicTask(FRESHNESS_CHECK_MILLISECONDS, () => this.#checkFreshness());
        this.#logger.info("listening", {
            callers: this.settings.callersAddress,
            instances: this.settings.instancesAddress,
        });
    }

    /**
     * Shuts down without cutting a request: waits until the balancer stops sending, lets streams end, hands over.
     *
     * @returns A promise that resolves once nothing is left to do.
     */
    async shutDown(): Promise<void> {
        this.#shuttingDown = true;
        this.#logger.info("shutting down");
        await sleep(this.settings.drain.graceMilliseconds);
        const limit = setTimeout(() => {
            this.#logger.warn("cutting requests at the drain limit", { requests: this.#active.size });
            this.#active.abortKeyed(new Refusal(503, "shutting-down", "may-have-run", "The instance shut down"));
            this.#callers.closeAllConnections();
        }, this.settings.drain.limitMilliseconds);
        await this.#callers.close();
        clearTimeout(limit);
        await this.#recordOutcomes();
        await this.#homes.releaseAll();
        if (await this.#membership.leave()) {
            await this.#homes.sendHandovers();
        }
        await this.#closeAll();
        this.#logger.info("shut down");
    }

    async #recordOutcomes(): Promise<void> {
        for (let waited = 0; this.#once.unrecordedOutcomes > 0 && waited < OUTCOME_GRACE_MILLISECONDS; waited += 50) {
            await sleep(50);
        }
        this.#once.close();
    }

    async #closeAll(): Promise<void> {
        await Promise.all([
            this.#freshness?.close(),
            this.#loadReports?.close(),
            this.#membership.close(),
            this.#follower.close(),
            this.#heartbeats.close(),
            this.#homes.close(),
            this.#serverState.close(),
        ]);
        this.#pool.close();
        await Promise.all([this.#store.close(), this.#instanceList.close(), this.#engines.close()]);
        await this.#server.close();
    }

    async #checkFreshness(): Promise<void> {
        const hasPeers = this.#membership.otherMembers.length > 0;
        if (!this.#surveyed && (this.#membership.isMember || hasPeers)) {
            // A lagging read of the store may be older than what the peers know.
            await this.#heartbeats.queryMembers();
            this.#surveyed = true;
        }
        const refusal = this.#keysRefused();
        if (refusal) {
            this.#active.abortKeyed(refusal);
        }
    }

    #unready(): string | undefined {
        if (this.#shuttingDown) {
            return "shutting down";
        }
        if (!this.#follower.ready) {
            return "no configuration yet";
        }
        return this.#surveyed ? undefined : "peers not asked yet";
    }

    /** Cut off from the store and from every peer, an instance cannot know of a withdrawn key or a drain. */
    #keysRefused(): Refusal | undefined {
        const isolated = this.#configuration.ageMilliseconds > ISOLATION_MILLISECONDS
            && this.#heartbeats.millisecondsSinceContact > ISOLATION_MILLISECONDS;
        if (!isolated) {
            return undefined;
        }
        const message = "The instance cannot tell whether keys are still valid";
        return new Refusal(503, "configuration-stale", "not-run", message, { retryAfterSeconds: 1 });
    }

    #registerGauges(shares: HomedLimitShares, onceState: HomedOnceShards, reservations: ReservationClient): void {
        const metrics = this.#metrics;
        metrics.gauge("requests_active", () => this.#active.size);
        metrics.gauge("configuration_version", () => this.#configuration.version);
        metrics.gauge("configuration_age_seconds", () => this.#configuration.ageMilliseconds / 1_000);
        metrics.gauge("epoch", () => this.#membership.record.epoch);
        metrics.gauge("members", () => this.#membership.record.members.length);
        metrics.gauge("homes_active", () => this.#homes.activeCount);
        metrics.gauge("homes_pending", () => this.#homes.pendingCount);
        metrics.gauge("shares_held", () => shares.count);
        metrics.gauge("once_only_shards", () => onceState.count);
        metrics.gauge("once_only_outcomes_unrecorded", () => this.#once.unrecordedOutcomes);
        metrics.gauge("reservations_held", () => reservations.held.size);
        metrics.gauge("resident_memory_bytes", () => process.memoryUsage.rss());
        metrics.gauge("processor_seconds_total", () => {
            const { user, system } = process.cpuUsage();
            return (user + system) / 1_000_000;
        });
    }
}
