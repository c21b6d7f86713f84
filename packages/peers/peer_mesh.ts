import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { ItemChange, ReplicaUpdate } from "../replica/mod.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { Peer } from "./peer.ts";
import type { PeerMeshOptions } from "./peer_mesh_options.ts";
import { peerReportSchema } from "./peer_report_schema.ts";
import { Registration } from "./registration.ts";
import { ReplicaExchange } from "./replica_exchange.ts";

/** Fixed, since the platform gives its processes no secret; instances communicate over a private network. */
const SECRET = "laburnumslip-private-network";
const KEY_PREFIX = "laburnumslip/instances/";
/** Period of the report and probe tasks; also the shortest time between two reports. */
const TASK_PERIOD_MILLISECONDS = 50;
/** Maximum reports that one instance sends in a second; with more peers, each of them gets fewer. */
const REPORTS_PER_SECOND = 90;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after which a report is sent even if nothing has changed. */
const FORCED_REPORT_MILLISECONDS = 500;
/** Shortest time between two probes of a peer. */
const MINIMUM_PROBE_PERIOD_MILLISECONDS = 500;
/** Maximum probes that one instance sends in a second. */
const PROBES_PER_SECOND = 12;
const PROBE_TIMEOUT_MILLISECONDS = 1_000;
/** Time for which a peer that is not registered in the store is kept after its last report. */
const UNREGISTERED_PEER_MILLISECONDS = 6_000;

const peerSchema = z.object({ name: z.string(), incarnation: z.string(), address: z.string() });

/**
 * Connects this instance to the others: finds them through the store, sends them reports on this instance, and
 * exchanges replicas of the store with them.
 *
 * @example
 * ```ts
 * const mesh = new PeerMesh(options);
 * await mesh.start("10.0.0.5:8090");
 * await mesh.close();
 * ```
 */
export class PeerMesh {
    readonly #server: InstanceServer;
    readonly #pool: InstancePool;
    readonly #registeredPeers = new Map<string, Peer>();
    readonly #reportedPeers = new Map<string, KnownPeer>();
    readonly #exchange: ReplicaExchange;
    #registration: Registration | undefined;
    #reportTask: PeriodicTask | undefined;
    #forcedReportAt = 0;
    #lastReportSentAt = 0;
    #probeTask: PeriodicTask | undefined;
    #probesDue = 0;
    #nextProbe = 0;
    #closed = false;

    /**
     * @param options Dependencies of the mesh.
     */
    constructor(private readonly options: PeerMeshOptions) {
        const { self, metrics, logger, replica } = options;
        this.#server = new InstanceServer(self, SECRET, { metrics, logger, compress: false });
        this.#pool = new InstancePool(self, SECRET, metrics, this.#server, { compress: false });
        this.#server.handle("peers.report", peerReportSchema, async report => {
            const { name, incarnation, address, readsStore } = report;
            const peer = { name, incarnation, address };
            this.#reportedPeers.set(name, { peer, lastReportAt: monotonicMilliseconds(), readsStore });
            options.onReport(report);
        });
        this.#server.handle("peers.probe", z.object({}), async () => ({}));
        this.#exchange = new ReplicaExchange({
            ...options,
            pool: this.#pool,
            server: this.#server,
            peers: () => this.#peers(),
        });
        replica.onChange(change => this.#applyRegistration(change));
    }

    /** Number of instances, this one included. */
    get instanceCount(): number {
        return this.#peers().length + 1;
    }

    /** Names of the other instances. */
    get peerNames(): string[] {
        return this.#peers().map(({ peer }) => peer.name);
    }

    /** Time in milliseconds between two reports to one peer while the load changes. */
    get reportPeriodMilliseconds(): number {
        return Math.max(TASK_PERIOD_MILLISECONDS, this.#peers().length / REPORTS_PER_SECOND * MILLISECONDS_PER_SECOND);
    }

    /**
     * Returns whether this instance is one of those that read the store.
     *
     * @returns Whether it is a reader.
     */
    isReader(): boolean {
        return this.#exchange.isReader();
    }

    /**
     * Forwards an update from the store to all peers, if this instance is a reader.
     *
     * @param update Result of a read of the store.
     */
    publish(update: ReplicaUpdate): void {
        this.#exchange.publish(update);
    }

    /**
     * Opens the port for other instances and registers this one.
     *
     * @param address IP address and port.
     * @returns A promise that resolves once the port is open.
     * @throws {Error} If the port is in use.
     */
    async start(address: string): Promise<void> {
        const { self, store, logger } = this.options;
        await this.#server.listen(address);
        this.#registration = new Registration(store, KEY_PREFIX + self.name, JSON.stringify(self), logger);
        const onError = (error: unknown) => logger.error("peer task failed", { error: String(error) });
        this.#reportTask = new PeriodicTask(TASK_PERIOD_MILLISECONDS, async () => this.#sendReport(), onError);
        this.#probeTask = new PeriodicTask(TASK_PERIOD_MILLISECONDS, async () => this.#sendProbes(), onError);
        this.#exchange.start();
    }

    /**
     * Unregisters this instance and closes the port.
     *
     * @returns A promise that resolves once all is closed.
     */
    async close(): Promise<void> {
        if (this.#closed) {
            return;
        }
        this.#closed = true;
        await Promise.all([
            this.#registration?.close(),
            this.#reportTask?.close(),
            this.#probeTask?.close(),
            this.#exchange.close(),
        ]);
        this.#pool.close();
        await this.#server.close();
    }

    #peers(): KnownPeer[] {
        const oldestReportAt = monotonicMilliseconds() - UNREGISTERED_PEER_MILLISECONDS;
        const peers = new Map<string, KnownPeer>();
        for (const [name, peer] of this.#registeredPeers) {
            peers.set(name, { peer, lastReportAt: Number.NEGATIVE_INFINITY, readsStore: false });
        }
        for (const [name, knownPeer] of this.#reportedPeers) {
            if (knownPeer.lastReportAt < oldestReportAt) {
                this.#reportedPeers.delete(name);
            }
            else {
                peers.set(name, knownPeer);
            }
        }
        peers.delete(this.options.self.name);
        return [...peers.values()];
    }

    #applyRegistration(change: ItemChange): void {
        const key = change.kind === "written" ? change.item.key : change.key;
        if (!key.startsWith(KEY_PREFIX)) {
            return;
        }
        const name = key.slice(KEY_PREFIX.length);
        const { logger } = this.options;
        if (change.kind === "removed") {
            this.#registeredPeers.delete(name);
            logger.info("instance unregistered", { peer: name, revision: change.revision });
            return;
        }
        try {
            const peer = peerSchema.parse(JSON.parse(change.item.value ?? ""));
            this.#registeredPeers.set(name, peer);
            const { incarnation, address } = peer;
            logger.info("instance registered", { peer: name, incarnation, address, revision: change.item.revision });
            const reported = this.#reportedPeers.get(name);
            if (reported && reported.peer.incarnation !== peer.incarnation) {
                this.#reportedPeers.delete(name);
            }
        }
        catch (error) {
            logger.warn("cannot parse registered instance", { key, error: String(error) });
        }
    }

    #sendReport(): void {
        const now = monotonicMilliseconds();
        const peers = this.#peers();
        // Timers fire slightly late, so the comparison allows for half a task period.
        if (
            now - this.#lastReportSentAt
                < peers.length / REPORTS_PER_SECOND * MILLISECONDS_PER_SECOND - TASK_PERIOD_MILLISECONDS / 2
        ) {
            return;
        }
        const force = now - this.#forcedReportAt >= FORCED_REPORT_MILLISECONDS;
        const reportFields = this.options.createReport(force);
        if (!reportFields) {
            return;
        }
        this.#lastReportSentAt = now;
        this.#forcedReportAt = force ? now : this.#forcedReportAt;
        const report = { ...this.options.self, ...reportFields };
        this.#pool.broadcast(peers.map(({ peer }) => peer), "peers.report", report);
    }

    /** Probes peers in turn, so that a connection that no longer delivers data is detected. */
    #sendProbes(): void {
        const peers = this.#peers();
        const probesPerSecond = Math.min(
            PROBES_PER_SECOND,
            peers.length * MILLISECONDS_PER_SECOND / MINIMUM_PROBE_PERIOD_MILLISECONDS,
        );
        this.#probesDue += probesPerSecond * TASK_PERIOD_MILLISECONDS / MILLISECONDS_PER_SECOND;
        for (; this.#probesDue >= 1; this.#probesDue--) {
            const knownPeer = peers[this.#nextProbe++ % Math.max(1, peers.length)];
            if (knownPeer) {
                void this.#probePeer(knownPeer.peer);
            }
        }
    }

    async #probePeer(peer: Peer): Promise<void> {
        const response = await this.#pool.call(peer, "peers.probe", {}, PROBE_TIMEOUT_MILLISECONDS);
        if (response.isErr() && response.error.kind === "timeout") {
            this.options.logger.warn("peer does not answer", { peer: peer.name });
            this.options.metrics.increment("peer_timeouts_total");
            this.#pool.disconnect(peer);
        }
    }
}
