import { randomBytes } from "node:crypto";
import { readFile } from "node:fs/promises";
import { ActiveRequests, CallerServer, drainCallers, ModelHandler, ServiceHandler } from "../callers/mod.ts";
import { monotonicMilliseconds, PeriodicTask, sleep } from "../clocks/mod.ts";
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
import { ProcessMemory } from "../memory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { HomedOnceShards, OnceClient } from "../once/mod.ts";
import { createPlacementPolicy } from "../placement/mod.ts";
import { HomedServerLedgers, ReservationClient } from "../reservations/mod.ts";
import { ModelRouter } from "../routing/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { endsBy, ShutdownLog, TurnWatch } from "../shutdown/mod.ts";
import { HttpStore } from "../store/mod.ts";
import { SuspectRegistry } from "../suspects/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { leaveFleet } from "./_leave_fleet.ts";
import { LoadReportPoller } from "./_load_report_poller.ts";
import { registerOperatorCalls } from "./_operator_calls.ts";
import { readMemoryLimit } from "./_read_memory_limit.ts";

/** Time in milliseconds after the end of the requests in which an instance hands over what it holds and leaves the fleet. */
const LEAVING_MILLISECONDS = 8_000;
const FRESHNESS_CHECK_MILLISECONDS = 500;
/** Time without contact to the store and to every peer after which the instance refuses requests with API keys. */
const MAXIMUM_ISOLATION_MILLISECONDS = 5_000;

/**
 * One instance of the router: it serves callers and is the home of a part of the shared state.
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
    readonly #metrics: Metrics;
    readonly #active = new ActiveRequests();
    readonly #memory: ProcessMemory;
    readonly #store: HttpStore;
    readonly #instanceList: HttpInstanceList;
    readonly #server: InstanceServer;
    readonly #pool: InstancePool;
    readonly #engines = new EnginePool();
    readonly #turns = new TurnWatch();
    readonly #configuration: ConfigurationState;
    readonly #membership: Membership;
    readonly #follower: ConfigurationFollower;
    readonly #heartbeats: Heartbeats;
    readonly #homes: HomeManager;
    readonly #serverLedgers: HomedServerLedgers;
    readonly #once: OnceClient;
    readonly #callers: CallerServer;
    readonly #loadReportPoller: LoadReportPoller | undefined;
    #freshnessTask: PeriodicTask | undefined;
    #membersQueried = false;
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
        const logger = createLogger(settings.name);
        const metrics = new Metrics(logger);
        this.#logger = logger;
        this.#metrics = metrics;
        this.#memory = new ProcessMemory(readMemoryLimit(settings.memoryMegabytes), metrics, logger);
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
        const dependencies = {
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
        this.#heartbeats = new Heartbeats(dependencies);
        this.#follower = new ConfigurationFollower({ ...dependencies, heartbeats: this.#heartbeats });
        const limitShares = new HomedLimitShares(this.#configuration, this.#server, invariants);
        const suspects = new SuspectRegistry(dependencies);
        this.#serverLedgers = new HomedServerLedgers({
            ...dependencies,
            reportCrash: (fingerprint, server, role) => {
                void suspects.report(fingerprint, server, role);
            },
        });
        this.#homes = new HomeManager([limitShares, this.#serverLedgers], dependencies);
        const onceShards = new HomedOnceShards(this.#store, this.#server, this.#membership, this.#pool, logger);
        this.#once = new OnceClient(this.#membership, this.#pool, logger);
        const reservations = new ReservationClient(this.#membership, this.#pool, this.#server);
        const policy = createPlacementPolicy(settings.policy);
        const limiter = new OrganisationLimiter(this.#membership, this.#pool, this.#configuration);
        const router = new ModelRouter({
            ...dependencies,
            limiter,
            reservations,
            suspects,
            policy,
            failureDomain: settings.failureDomain,
        });
        this.#loadReportPoller = policy.needsLoadReports
            ? new LoadReportPoller(this.#configuration, this.#engines, reservations)
            : undefined;
        this.#callers = new CallerServer({
            ...dependencies,
            settings,
            tls,
            instanceId: instanceId(self),
            models: new ModelHandler({ ...dependencies, router }),
            serviceHandler: new ServiceHandler({ ...dependencies, once: this.#once }),
            memory: this.#memory.budget,
            active: this.#active,
            notReadyReason: () => this.#notReadyReason(),
            keyedRequestRefusal: () => this.#keyedRequestRefusal(),
        });
        registerOperatorCalls({
            ...dependencies,
            follower: this.#follower,
            heartbeats: this.#heartbeats,
            homes: this.#homes,
            serverLedgers: this.#serverLedgers,
        });
        this.#registerGauges(limitShares, onceShards, reservations);
        this.#configuration.onChange(document => {
            this.#active.abortRevoked(document);
            const addresses = Object.values(document.backendServers).map(({ address }) => address);
            this.#engines.retain(new Set(addresses));
        });
    }

    /**
     * Reads the files that the settings name and creates the instance.
     *
     * @param settings Validated settings.
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
     * Opens the ports and starts to join the fleet.
     *
     * @returns A promise that resolves once the ports are open; the instance is ready when `/readyz` returns 200.
     * @throws {Error} If a port is in use.
     */
    async start(): Promise<void> {
        // Opens this port before claiming any state: a refused connection proves that this instance holds none.
        await this.#server.listen(this.settings.instancesListenAddress ?? this.settings.instancesAddress);
        await this.#callers.listen();
        this.#membership.start();
        this.#follower.start();
        this.#heartbeats.start();
        this.#homes.start();
        this.#freshnessTask = new PeriodicTask(FRESHNESS_CHECK_MILLISECONDS, () => this.#checkFreshness());
        const { callersAddress: callers, instancesAddress: instances } = this.settings;
        this.#logger.info("listening", { callers, instances, ...this.#memory.logFields() });
    }

    /**
     * Shuts down gracefully: waits until the load balancer stops sending, lets requests end and hands over the homes.
     * Requests that are still running at the drain limit are aborted.
     *
     * @returns A promise that resolves once the shutdown is complete.
     */
    async shutDown(): Promise<void> {
        this.#shuttingDown = true;
        this.#logger.info("shutting down");
        const { graceMilliseconds, limitMilliseconds } = this.settings.drain;
        const steps = new ShutdownLog(this.#logger, this.#turns);
        this.#callers.leave();
        steps.begin("drain", monotonicMilliseconds() + graceMilliseconds);
        await sleep(graceMilliseconds);
        const drainEnd = monotonicMilliseconds() + limitMilliseconds;
        steps.begin("last requests", drainEnd);
        await drainCallers(this.#callers, this.#active, drainEnd, this.#logger);
        const endBy = monotonicMilliseconds() + LEAVING_MILLISECONDS;
        const parts = { once: this.#once, homes: this.#homes, membership: this.#membership };
        const closed = leaveFleet(parts, steps, endBy).then(() => this.#closeAll());
        if (await endsBy(closed, endBy)) {
            this.#logger.info("shut down");
        }
        else {
            this.#logger.warn("shut down before the instance has left the fleet");
        }
    }

    async #closeAll(): Promise<void> {
        await Promise.all([
            this.#freshnessTask?.close(),
            this.#loadReportPoller?.close(),
            this.#membership.close(),
            this.#follower.close(),
            this.#heartbeats.close(),
            this.#homes.close(),
            this.#serverLedgers.close(),
        ]);
        this.#pool.close();
        this.#memory.close();
        this.#turns.close();
        await Promise.all([this.#store.close(), this.#instanceList.close(), this.#engines.close()]);
        await this.#server.close();
    }

    async #checkFreshness(): Promise<void> {
        if (!this.#membersQueried && (this.#membership.isMember || this.#membership.otherMembers.length > 0)) {
            // A read from the store may lag; the peers may know a newer configuration.
            await this.#heartbeats.queryMembers();
            this.#membersQueried = true;
        }
        const refusal = this.#keyedRequestRefusal();
        if (refusal) {
            this.#active.abortKeyed(refusal);
        }
    }

    #notReadyReason(): string | undefined {
        if (this.#shuttingDown) {
            return "shutting down";
        }
        if (!this.#follower.ready) {
            return "no configuration yet";
        }
        return this.#membersQueried ? undefined : "peers not asked yet";
    }

    /** Without contact to the store and to every peer, an instance cannot learn of a revoked API key or a drain. */
    #keyedRequestRefusal(): Refusal | undefined {
        const isolated = this.#configuration.ageMilliseconds > MAXIMUM_ISOLATION_MILLISECONDS
            && this.#heartbeats.millisecondsSinceContact > MAXIMUM_ISOLATION_MILLISECONDS;
        if (!isolated) {
            return undefined;
        }
        const message = "The instance cannot tell whether keys are still valid";
        return new Refusal(503, "configuration-stale", "not-run", message, { retryAfterSeconds: 1 });
    }

    #registerGauges(limitShares: HomedLimitShares, onceShards: HomedOnceShards, reservations: ReservationClient): void {
        const metrics = this.#metrics;
        metrics.gauge("requests_active", () => this.#active.size);
        metrics.gauge("configuration_version", () => this.#configuration.version);
        metrics.gauge("configuration_age_seconds", () => this.#configuration.ageMilliseconds / 1_000);
        metrics.gauge("epoch", () => this.#membership.record.epoch);
        metrics.gauge("members", () => this.#membership.record.members.length);
        metrics.gauge("homes_active", () => this.#homes.activeCount);
        metrics.gauge("homes_pending", () => this.#homes.pendingCount);
        metrics.gauge("shares_held", () => limitShares.count);
        metrics.gauge("once_only_shards", () => onceShards.count);
        metrics.gauge("once_only_outcomes_unrecorded", () => this.#once.unrecordedOutcomes);
        metrics.gauge("reservations_held", () => reservations.heldReservations.size);
    }
}
