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

/** Instances of one private network; the platform hands no secret to its processes. */
const SECRET = "laburnumslip-private-network";
const KEY_PREFIX = "laburnumslip/instances/";
/** Shortest time in milliseconds between two reports. */
const PERIOD_MILLISECONDS = 50;
/** Reports that one instance sends in a second at most; with more peers each gets fewer. */
const REPORTS_PER_SECOND = 90;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time in milliseconds after which a report is sent even if nothing has changed. */
const FORCED_REPORT_MILLISECONDS = 500;
/** Shortest time in milliseconds between two probes of a peer. */
const PROBE_MILLISECONDS = 500;
/** Probes that one instance sends in a second at most. */
const PROBES_PER_SECOND = 12;
const PROBE_TIMEOUT_MILLISECONDS = 1_000;
/** Time in milliseconds that a peer is kept after its last report when the store does not list it. */
const FORGET_MILLISECONDS = 6_000;

const peerSchema = z.object({ name: z.string(), incarnation: z.string(), address: z.string() });

/**
 * The other instances: finds them through the store, tells them about this instance, and exchanges copies of the store
 * with them.
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
    readonly #listed = new Map<string, Peer>();
    readonly #heard = new Map<string, KnownPeer>();
    readonly #exchange: ReplicaExchange;
    #registration: Registration | undefined;
    #reports: PeriodicTask | undefined;
    #reportedAt = 0;
    #sentAt = 0;
    #probes: PeriodicTask | undefined;
    #probesDue = 0;
    #nextProbe = 0;
    #closed = false;

    /**
     * @param options What the mesh works with.
     */
    constructor(private readonly options: PeerMeshOptions) {
        const { self, metrics, logger, replica } = options;
        this.#server = new InstanceServer(self, SECRET, { metrics, logger, compress: false });
        this.#pool = new InstancePool(self, SECRET, metrics, this.#server, { compress: false });
        this.#server.handle("peers.report", peerReportSchema, async report => {
            const { name, incarnation, address, readsStore } = report;
            const peer = { name, incarnation, address };
            this.#heard.set(name, { peer, lastReportAt: monotonicMilliseconds(), readsStore });
            options.onReport(report);
        });
        this.#server.handle("peers.probe", z.object({}), async () => ({}));
        this.#exchange = new ReplicaExchange({
            ...options,
            pool: this.#pool,
            server: this.#server,
            peers: () => this.#peers(),
        });
        replica.onChange(change => this.#list(change));
    }

    /** Number of instances, this one included. */
    get size(): number {
        return this.#peers().length + 1;
    }

    /** Names of the other instances. */
    get names(): string[] {
        return this.#peers().map(({ peer }) => peer.name);
    }

    /** Time in milliseconds between two reports of one instance while its load changes. */
    get reportPeriodMilliseconds(): number {
        return Math.max(PERIOD_MILLISECONDS, this.#peers().length / REPORTS_PER_SECOND * MILLISECONDS_PER_SECOND);
    }

    /**
     * Tells whether this instance is one of those that read the store.
     *
     * @returns Whether it is.
     */
    isReader(): boolean {
        return this.#exchange.isReader();
    }

    /**
     * Passes on what a read of the store has brought, if this instance reads for its peers.
     *
     * @param news What was read.
     */
    publish(news: ReplicaUpdate): void {
        this.#exchange.publish(news);
    }

    /**
     * Opens the port for other instances and registers this one.
     *
     * @param address IP number and port.
     * @returns A promise that resolves once the port is open.
     * @throws {Error} If the port is in use.
     */
    async start(address: string): Promise<void> {
        const { self, store, logger } = this.options;
        await this.#server.listen(address);
        this.#registration = new Registration(store, KEY_PREFIX + self.name, JSON.stringify(self), logger);
        const onError = (error: unknown) => logger.error("peer task failed", { error: String(error) });
        this.#reports = new PeriodicTask(PERIOD_MILLISECONDS, async () => this.#report(), onError);
        this.#probes = new PeriodicTask(PERIOD_MILLISECONDS, async () => this.#probe(), onError);
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
            this.#reports?.close(),
            this.#probes?.close(),
            this.#exchange.close(),
        ]);
        this.#pool.close();
        await this.#server.close();
    }

    #peers(): KnownPeer[] {
        const oldest = monotonicMilliseconds() - FORGET_MILLISECONDS;
        const peers = new Map<string, KnownPeer>();
        for (const [name, peer] of this.#listed) {
            peers.set(name, { peer, lastReportAt: Number.NEGATIVE_INFINITY, readsStore: false });
        }
        for (const [name, known] of this.#heard) {
            if (known.lastReportAt < oldest) {
                this.#heard.delete(name);
            }
            else {
                peers.set(name, known);
            }
        }
        peers.delete(this.options.self.name);
        return [...peers.values()];
    }

    #list(change: ItemChange): void {
        const key = change.kind === "written" ? change.item.key : change.key;
        if (!key.startsWith(KEY_PREFIX)) {
            return;
        }
        const name = key.slice(KEY_PREFIX.length);
        const { logger } = this.options;
        if (change.kind === "removed") {
            this.#listed.delete(name);
            logger.info("instance unregistered", { peer: name, revision: change.revision });
            return;
        }
        try {
            const peer = peerSchema.parse(JSON.parse(change.item.value ?? ""));
            this.#listed.set(name, peer);
            const { incarnation, address } = peer;
            logger.info("instance registered", { peer: name, incarnation, address, revision: change.item.revision });
            const heard = this.#heard.get(name);
            if (heard && heard.peer.incarnation !== peer.incarnation) {
                this.#heard.delete(name);
            }
        }
        catch (error) {
            logger.warn("registered instance cannot be read", { key, error: String(error) });
        }
    }

    #report(): void {
        const now = monotonicMilliseconds();
        const peers = this.#peers();
        // Timers fire a little late, so that equal periods must not be compared to the millisecond.
        if (
            now - this.#sentAt < peers.length / REPORTS_PER_SECOND * MILLISECONDS_PER_SECOND - PERIOD_MILLISECONDS / 2
        ) {
            return;
        }
        const force = now - this.#reportedAt >= FORCED_REPORT_MILLISECONDS;
        const description = this.options.createReport(force);
        if (!description) {
            return;
        }
        this.#sentAt = now;
        this.#reportedAt = force ? now : this.#reportedAt;
        const report = { ...this.options.self, ...description };
        this.#pool.broadcast(peers.map(({ peer }) => peer), "peers.report", report);
    }

    /** Probes peers in turn, so that a connection which has fallen silent is noticed. */
    #probe(): void {
        const peers = this.#peers();
        const perSecond = Math.min(PROBES_PER_SECOND, peers.length * MILLISECONDS_PER_SECOND / PROBE_MILLISECONDS);
        this.#probesDue += perSecond * PERIOD_MILLISECONDS / MILLISECONDS_PER_SECOND;
        for (; this.#probesDue >= 1; this.#probesDue--) {
            const known = peers[this.#nextProbe++ % Math.max(1, peers.length)];
            if (known) {
                void this.#probePeer(known.peer);
            }
        }
    }

    async #probePeer(peer: Peer): Promise<void> {
        const answer = await this.#pool.call(peer, "peers.probe", {}, PROBE_TIMEOUT_MILLISECONDS);
        if (answer.isErr() && answer.error.kind === "timeout") {
            this.options.logger.warn("peer does not answer", { peer: peer.name });
            this.options.metrics.increment("peer_timeouts_total");
            this.#pool.disconnect(peer);
        }
    }
}
