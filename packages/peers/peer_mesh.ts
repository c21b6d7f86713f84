import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { InstancePool, InstanceServer } from "../instances/mod.ts";
import { type ItemChange, positionOf, type ReplicaUpdate } from "../replica/mod.ts";
import { mergeLeaving } from "./_merge_leaving.ts";
import { mergeLimits } from "./_merge_limits.ts";
import { parseRegistration } from "./_parse_registration.ts";
import type { Cell } from "./cell.ts";
import { CellExchange } from "./cell_exchange.ts";
import type { CellState } from "./cell_state.ts";
import { EndedMateRemoval } from "./ended_mate_removal.ts";
import type { KnownPeer } from "./known_peer.ts";
import { MemberList } from "./member_list.ts";
import type { Peer } from "./peer.ts";
import type { PeerMeshOptions } from "./peer_mesh_options.ts";
import { PeerProbes } from "./peer_probes.ts";
import type { PeerReport } from "./peer_report.ts";
import { peerReportSchema } from "./peer_report_schema.ts";
import { Registration } from "./registration.ts";
import { ReplicaExchange } from "./replica_exchange.ts";

/** Fixed, since the platform gives its processes no secret; instances communicate over a private network. */
const SECRET = "laburnumslip-private-network";
const KEY_PREFIX = "laburnumslip/instances/";
/** Period of the report and probe tasks; also the shortest time between two reports. */
const TASK_PERIOD_MILLISECONDS = 50;
/** Maximum reports that one instance sends in a second; in a larger cell, each member gets fewer. */
const REPORTS_PER_SECOND = 90;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after which a report is sent even if nothing has changed. */
const FORCED_REPORT_MILLISECONDS = 500;
/** Age in milliseconds of a report above which it is left out of the state of the cell. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;

/**
 * Connects this instance to the others: finds them through the store, sends reports on this instance to the members of
 * its cell, exchanges sums with the other cells and replicas of the store with its reader group.
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
    readonly #members: MemberList;
    readonly #exchange: ReplicaExchange;
    readonly #cells: CellExchange;
    /** Last reports of the members of the cell, with their times. */
    readonly #reports = new Map<string, { report: PeerReport; at: number; }>();
    #registration: Registration | undefined;
    #reportTask: PeriodicTask | undefined;
    #forcedReportAt = 0;
    #lastReportSentAt = 0;
    #removal: EndedMateRemoval | undefined;
    readonly #probes: PeerProbes;
    #closed = false;

    /**
     * @param options Dependencies of the mesh.
     */
    constructor(private readonly options: PeerMeshOptions) {
        const { self, metrics, logger, replica } = options;
        this.#members = new MemberList(self);
        this.#server = new InstanceServer(self, SECRET, { metrics, logger, compress: false });
        this.#pool = new InstancePool(self, SECRET, metrics, this.#server, { compress: false });
        this.#server.handle("peers.report", peerReportSchema, async report => {
            const { name, incarnation, address, failureDomain, readsStore, serversReachable } = report;
            this.#members.recordReport({ name, incarnation, address, failureDomain }, readsStore, serversReachable);
            this.#reports.set(name, { report, at: monotonicMilliseconds() });
            this.#probes.proofs.record(report);
            options.onReport(report);
        });
        this.#probes = new PeerProbes({
            ...options,
            pool: this.#pool,
            server: this.#server,
            members: this.#members,
            periodMilliseconds: TASK_PERIOD_MILLISECONDS,
        });
        this.#exchange = new ReplicaExchange({
            ...options,
            pool: this.#pool,
            server: this.#server,
            members: this.#members,
        });
        this.#cells = new CellExchange({
            ...options,
            pool: this.#pool,
            server: this.#server,
            members: this.#members,
            createState: () => this.#createCellState(),
            onState: state => options.onFleetState(state),
        });
        metrics.gauge("fleet_instances", () => this.instanceCount);
        metrics.gauge("fleet_cell_instances", () => this.#mates().length + 1);
        replica.onChange(change => this.#applyRegistration(change));
        replica.onEraChange(() => this.#registration?.renewUnless(replica.getStored(KEY_PREFIX + self.name)?.value));
    }

    /** Number of instances, this one included. */
    get instanceCount(): number {
        return this.#members.names.length + 1;
    }

    /** Names of the other instances; the same array until an instance joins or leaves. */
    get peerNames(): readonly string[] {
        return this.#members.names;
    }

    /** Cell of this instance, whose members prefer the same servers. */
    get cell(): Cell | undefined {
        return this.#members.partition.cellOf(this.options.self.name);
    }

    /**
     * Returns whether a peer is a member of another cell.
     *
     * @param name Name of the peer.
     * @returns Whether it is; false for a peer that is no longer a member of the fleet.
     */
    isInOtherCell(name: string): boolean {
        const cell = this.#members.partition.cellOf(name);
        return cell !== undefined && cell !== this.cell;
    }

    /**
     * Lists the other instances, those of other cells included, which do not report to this one.
     *
     * @returns The peers with what is known of them.
     */
    peers(): KnownPeer[] {
        return this.#members.peers();
    }

    /** Time in milliseconds between two reports to one member of the cell while the load changes. */
    get reportPeriodMilliseconds(): number {
        return Math.max(TASK_PERIOD_MILLISECONDS, this.#mates().length / REPORTS_PER_SECOND * MILLISECONDS_PER_SECOND);
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
     * Forwards an update from the store to the reader group, if this instance is a reader.
     *
     * @param update Result of a read of the store.
     */
    publish(update: ReplicaUpdate): void {
        this.#exchange.publish(update);
    }

    /**
     * Opens the port for other instances, registers this one and asks the seeds for what they know of the store.
     *
     * @param address IP address and port.
     * @returns A promise that resolves once the port is open and the seeds have been asked.
     * @throws {Error} If the port is in use.
     */
    async start(address: string): Promise<void> {
        const { self, store, logger } = this.options;
        await this.#server.listen(address);
        this.#registration = new Registration(store, KEY_PREFIX + self.name, JSON.stringify(self), logger);
        const onError = (error: unknown) => logger.error("peer task failed", { error: String(error) });
        this.#reportTask = new PeriodicTask(TASK_PERIOD_MILLISECONDS, async () => {
            try {
                this.#sendReport();
                this.#cells.step();
            }
            finally {
                this.#probes.step(this.#probed());
            }
        }, onError);
        this.#removal = new EndedMateRemoval({
            ...this.options,
            keyPrefix: KEY_PREFIX,
            members: this.#members,
            pool: this.#pool,
            isResponsible: () => this.#cells.isPrimary && this.options.readsStore(),
        });
        await this.#exchange.start();
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
            this.#removal?.close(),
            this.#exchange.close(),
        ]);
        this.#pool.close();
        await this.#server.close();
    }

    /** The other members of the cell. */
    #mates(): KnownPeer[] {
        const { name } = this.options.self;
        const names = this.#members.partition.cellOf(name)?.members ?? [];
        return names.flatMap(mate => this.#members.find(mate) ?? []);
    }

    #createCellState(): CellState {
        const state = this.options.createCellState();
        const oldest = monotonicMilliseconds() - REPORT_LIFETIME_MILLISECONDS;
        for (const [name, { report, at }] of this.#reports) {
            if (at < oldest) {
                this.#reports.delete(name);
                continue;
            }
            state.changing.push(...report.changing);
            state.gone.push(...report.gone);
            state.goneStarts = mergeLeaving(state.goneStarts, report.goneStarts);
            state.leaving = mergeLeaving(state.leaving, report.leaving);
            state.serverLimits = mergeLimits(state.serverLimits, report.serverLimits, monotonicMilliseconds() - at);
        }
        return state;
    }

    #applyRegistration(change: ItemChange): void {
        const key = change.kind === "written" ? change.item.key : change.key;
        if (!key.startsWith(KEY_PREFIX)) {
            return;
        }
        const name = key.slice(KEY_PREFIX.length);
        const { self, logger } = this.options;
        if (change.kind === "removed") {
            this.#members.unregister(name);
            logger.info("instance unregistered", { peer: name, ...positionOf(change) });
            if (name === self.name) {
                this.#registration?.renew();
            }
        }
        if (change.kind !== "written") {
            return;
        }
        try {
            const peer = parseRegistration(name, change.item.value);
            this.#members.register(peer);
            const { incarnation, address } = peer;
            logger.info("instance registered", { peer: name, incarnation, address, ...positionOf(change.item) });
        }
        catch (error) {
            logger.warn("cannot parse registered instance", { key, error: String(error) });
        }
    }

    #sendReport(): void {
        const now = monotonicMilliseconds();
        const peers = this.#mates();
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
        const proofs = force ? this.#probes.proofs.createFields(this.#probed()) : {};
        const { name, incarnation, address, failureDomain } = this.options.self;
        const report = { name, incarnation, address, failureDomain, ...reportFields, ...proofs };
        this.#pool.broadcast(peers.map(({ peer }) => peer), "peers.report", report);
    }

    /** The peers that this instance sends messages to without being asked. */
    #probed(): Peer[] {
        return [...this.#mates().map(({ peer }) => peer), ...this.#cells.targets()];
    }
}
