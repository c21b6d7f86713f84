import * as z from "zod";
import { monotonicMilliseconds, RepeatingTask } from "../clocks/mod.ts";
import { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { ItemChange, ItemSnapshot } from "../replica/mod.ts";
import type { Peer } from "./peer.ts";
import type { PeerMeshOptions } from "./peer_mesh_options.ts";
import { peerReportSchema } from "./peer_report_schema.ts";
import { Registration } from "./registration.ts";

/** Instances of one private network; the platform hands no secret to its processes. */
const SECRET = "laburnumslip-private-network";
const KEY_PREFIX = "laburnumslip/instances/";
const PERIOD_MILLISECONDS = 50;
/** Time in milliseconds after which a report is sent even if nothing has changed. */
const FORCED_REPORT_MILLISECONDS = 500;
/** Age in milliseconds of the replica above which peers are asked. */
const STALE_MILLISECONDS = 1_300;
const PROBE_TIMEOUT_MILLISECONDS = 1_000;
const PULL_PERIOD_MILLISECONDS = 300;
const PULL_TIMEOUT_MILLISECONDS = 600;
/** Time in milliseconds that a peer is kept after its last report when the store does not list it. */
const FORGET_MILLISECONDS = 6_000;

const peerSchema = z.object({ name: z.string(), incarnation: z.string(), address: z.string() });
const pullSchema = z.object({ revision: z.number() });

/** A peer's copy of the store, as far as it is newer than what was asked for. */
interface PullAnswer {
    revision: number;
    /** Age in milliseconds of the copy's confirmation. */
    age: number;
    snapshot?: ItemSnapshot;
}

/**
 * The other instances: finds them through the store, tells them about this instance, and asks them for their copy of
 * the store when it cannot be reached.
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
    readonly #heard = new Map<string, { peer: Peer; at: number; }>();
    #registration: Registration | undefined;
    #reports: RepeatingTask | undefined;
    #pulls: RepeatingTask | undefined;
    #reportedAt = 0;
    #nextPull = 0;
    #closed = false;

    /**
     * @param options What the mesh works with.
     */
    constructor(private readonly options: PeerMeshOptions) {
        const { self, metrics, logger, replica } = options;
        this.#server = new InstanceServer(self, SECRET, { metrics, logger });
        this.#pool = new InstancePool(self, SECRET, metrics, this.#server);
        this.#server.handle("peers.report", peerReportSchema, async report => {
            const { name, incarnation, address } = report;
            this.#heard.set(name, { peer: { name, incarnation, address }, at: monotonicMilliseconds() });
            options.receive(report);
        });
        this.#server.handle("replica.pull", pullSchema, async ({ revision }) => this.#answerPull(revision));
        replica.onChange(change => this.#list(change));
    }

    /** Number of instances, this one included. */
    get size(): number {
        return this.#peers().length + 1;
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
        this.#reports = new RepeatingTask(PERIOD_MILLISECONDS, async () => this.#report(), onError);
        this.#pulls = new RepeatingTask(PULL_PERIOD_MILLISECONDS, () => this.#pullWhenStale(), onError);
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
        await Promise.all([this.#registration?.close(), this.#reports?.close(), this.#pulls?.close()]);
        this.#pool.close();
        await this.#server.close();
    }

    #peers(): Peer[] {
        const oldest = monotonicMilliseconds() - FORGET_MILLISECONDS;
        const peers = new Map(this.#listed);
        for (const [name, { peer, at }] of this.#heard) {
            if (at < oldest) {
                this.#heard.delete(name);
            }
            else if (peers.get(name)?.incarnation !== peer.incarnation) {
                peers.set(name, peer);
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
        if (change.kind === "removed") {
            this.#listed.delete(name);
            return;
        }
        try {
            const peer = peerSchema.parse(JSON.parse(change.item.value ?? ""));
            this.#listed.set(name, peer);
            const heard = this.#heard.get(name);
            if (heard && heard.peer.incarnation !== peer.incarnation) {
                this.#heard.delete(name);
            }
        }
        catch (error) {
            this.options.logger.warn("registered instance cannot be read", { key, error: String(error) });
        }
    }

    #report(): void {
        const now = monotonicMilliseconds();
        const force = now - this.#reportedAt >= FORCED_REPORT_MILLISECONDS;
        const description = this.options.describe(force);
        if (!description) {
            return;
        }
        this.#reportedAt = now;
        const report = { ...this.options.self, ...description };
        for (const peer of this.#peers()) {
            void (force ? this.#probe(peer, report) : this.#pool.notify(peer, "peers.report", report));
        }
    }

    /** Sends a report that is answered, so that a connection which has fallen silent is noticed. */
    async #probe(peer: Peer, report: object): Promise<void> {
        const answer = await this.#pool.call(peer, "peers.report", report, PROBE_TIMEOUT_MILLISECONDS);
        if (answer.isErr() && answer.error.kind === "timeout") {
            this.options.logger.warn("peer does not answer", { peer: peer.name });
            this.options.metrics.increment("peer_timeouts_total");
            this.#pool.disconnect(peer);
        }
    }

    async #pullWhenStale(): Promise<void> {
        const { clock, replica } = this.options;
        if (clock.now() - replica.confirmedAt < STALE_MILLISECONDS) {
            return;
        }
        const peers = this.#peers();
        const peer = peers[this.#nextPull++ % Math.max(1, peers.length)];
        if (peer) {
            await this.#pull(peer);
            return;
        }
        const seeds = this.options.seedAddresses.filter(address => address !== this.options.self.address);
        const seed = seeds[this.#nextPull % Math.max(1, seeds.length)];
        if (seed !== undefined) {
            await this.#pullSeed(seed);
        }
    }

    async #pull(peer: Peer): Promise<void> {
        const { clock, replica } = this.options;
        const askedAt = clock.now();
        const params = { revision: replica.revision };
        const answer = await this.#pool.call<PullAnswer>(peer, "replica.pull", params, PULL_TIMEOUT_MILLISECONDS);
        if (answer.isOk()) {
            this.#adopt(answer.value, askedAt, peer.name);
        }
    }

    async #pullSeed(address: string): Promise<void> {
        const askedAt = this.options.clock.now();
        const params = { revision: this.options.replica.revision };
        const answer = await this.#pool.callAddress<PullAnswer>(address, "replica.pull", params);
        if (answer.isOk()) {
            this.#adopt(answer.value, askedAt, address);
        }
    }

    #adopt(answer: PullAnswer, askedAt: number, from: string): void {
        const { replica, logger, metrics } = this.options;
        const confirmedAt = askedAt - answer.age;
        if (answer.snapshot && answer.revision > replica.revision) {
            logger.info("items taken from a peer", { peer: from, revision: answer.revision, age: answer.age });
            metrics.increment("replica_snapshots_from_peers_total");
            replica.replace(answer.snapshot, confirmedAt);
        }
        replica.confirm(answer.revision, confirmedAt);
    }

    #answerPull(revision: number): PullAnswer {
        const { clock, replica } = this.options;
        const age = Math.min(1e9, clock.now() - replica.confirmedAt);
        if (replica.revision <= revision) {
            return { revision: replica.revision, age };
        }
        return { revision: replica.revision, age, snapshot: replica.snapshot() };
    }
}
