import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { selectMembers } from "../membership/mod.ts";
import type { ItemChange, ItemSnapshot, ReplicaUpdate } from "../replica/mod.ts";
import type { Peer } from "./peer.ts";
import type { ReplicaExchangeOptions } from "./replica_exchange_options.ts";

/** Instances that read the store while all is well; two, so that the loss of one is not noticed. */
const READERS = 2;
const READER_GROUP = "store-readers";
/** Age in milliseconds of a peer's last report above which it is not taken for a reader. */
const READER_MILLISECONDS = 1_300;
const PULL_PERIOD_MILLISECONDS = 250;
/** Pulls that one reader answers in a second at most; with more peers each asks less often. */
const PULLS_PER_SECOND = 150;
/** Longest time in milliseconds between two pulls, so that the copy does not become late. */
const LONGEST_PULL_PERIOD_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;
const PULL_TIMEOUT_MILLISECONDS = 600;
/** Age in milliseconds of the copy above which any peer is asked, not only readers. */
const STALE_MILLISECONDS = 1_600;
/** Bytes that one change may cost a reader when it is sent to all peers; beyond, peers read the store. */
const PUSH_BUDGET_BYTES = 200_000;

const itemSchema = z.object({ key: z.string(), value: z.string().optional(), revision: z.number() });
const changeSchema = z.union([
    z.object({ kind: z.literal("written"), item: itemSchema }),
    z.object({ kind: z.literal("removed"), key: z.string(), revision: z.number() }),
]);
const newsSchema = z.object({ after: z.number(), revision: z.number(), changes: z.array(changeSchema).optional() });
const pullSchema = z.object({ revision: z.number(), full: z.boolean() });

/** A peer's copy of the store, as far as it is newer than what was asked for. */
interface PullAnswer {
    revision: number;
    /** Age in milliseconds of the copy's confirmation. */
    age: number;
    snapshot?: ItemSnapshot;
}

/**
 * Shares out the reading of the store: two instances read it, send what changes to all others, and confirm to those that
 * ask how old their knowledge is. An instance that the store turns away gets whole copies from its peers.
 *
 * @example
 * ```ts
 * const exchange = new ReplicaExchange(options);
 * exchange.start();
 * exchange.isReader(); // true while no peer is known
 * await exchange.close();
 * ```
 */
export class ReplicaExchange {
    readonly #asked = new Set<string>();
    #pulls: PeriodicTask | undefined;
    #nextPull = 0;
    #wasReader = false;
    #pulledAt = Number.NEGATIVE_INFINITY;

    /**
     * @param options What the exchange works with.
     */
    constructor(private readonly options: ReplicaExchangeOptions) {
        const { server } = options;
        server.handle("replica.pull", pullSchema, async ({ revision, full }) => this.#answerPull(revision, full));
        server.handle("replica.changes", newsSchema, async news => this.#receive(news));
    }

    /** Starts to ask readers. */
    start(): void {
        this.#pulls = new PeriodicTask(PULL_PERIOD_MILLISECONDS, async () => this.#step(), error => {
            this.options.logger.error("replica exchange failed", { error: String(error) });
        });
    }

    /**
     * Stops asking.
     *
     * @returns A promise that resolves once the task has ended.
     */
    async close(): Promise<void> {
        await this.#pulls?.close();
    }

    /**
     * Tells whether this instance is one of those that read the store.
     *
     * @returns Whether it is.
     */
    isReader(): boolean {
        return this.#readers().includes(instanceId(this.options.self));
    }

    /**
     * Sends what a read of the store has brought to all peers, if this instance reads for them.
     *
     * @param news What was read.
     */
    publish(news: ReplicaUpdate): void {
        if (!this.isReader()) {
            return;
        }
        const peers = this.options.peers();
        const size = JSON.stringify(news.changes ?? []).length * peers.length;
        const message = size > PUSH_BUDGET_BYTES ? { ...news, changes: undefined } : news;
        this.options.pool.broadcast(peers.map(({ peer }) => peer), "replica.changes", message);
    }

    #readers(): string[] {
        const { self, peers, readsStore } = this.options;
        const oldest = monotonicMilliseconds() - READER_MILLISECONDS;
        const candidates = peers()
            .filter(peer => peer.readsStore && peer.lastReportAt > oldest)
            .map(({ peer }) => instanceId(peer));
        if (readsStore()) {
            candidates.push(instanceId(self));
        }
        return selectMembers(candidates, READER_GROUP, Math.min(READERS, candidates.length));
    }

    #receive(news: z.infer<typeof newsSchema>): void {
        const { replica } = this.options;
        if (news.changes && news.after <= replica.revision) {
            replica.apply(news.changes as ItemChange[], news.revision);
        }
        else if (news.revision > replica.revision) {
            this.options.onNewerRevision(news.revision);
        }
    }

    #step(): void {
        const { clock, replica, peers } = this.options;
        this.#noteDuty();
        if (clock.now() - replica.confirmedAt >= STALE_MILLISECONDS) {
            this.#askAnyone();
            return;
        }
        const period = Math.min(
            LONGEST_PULL_PERIOD_MILLISECONDS,
            peers().length / PULLS_PER_SECOND * MILLISECONDS_PER_SECOND,
        );
        if (monotonicMilliseconds() - this.#pulledAt < period - PULL_PERIOD_MILLISECONDS / 2) {
            return;
        }
        this.#pulledAt = monotonicMilliseconds();
        const readers = new Set(this.#readers());
        if (!readers.has(instanceId(this.options.self))) {
            peers().filter(({ peer }) => readers.has(instanceId(peer))).forEach(({ peer }) => void this.#pull(peer));
        }
    }

    #noteDuty(): void {
        const reader = this.isReader();
        if (reader !== this.#wasReader) {
            const outcome = reader ? "read here" : "read by peers";
            this.options.logger.info("who reads the store has changed", { outcome, readers: this.#readers() });
            this.#wasReader = reader;
        }
    }

    #askAnyone(): void {
        const peers = this.options.peers();
        const next = this.#nextPull++;
        const known = peers[next % Math.max(1, peers.length)];
        if (known) {
            void this.#pull(known.peer);
            return;
        }
        const seeds = this.options.seedAddresses.filter(address => address !== this.options.self.address);
        const seed = seeds[next % Math.max(1, seeds.length)];
        if (seed !== undefined) {
            void this.#pullSeed(seed);
        }
    }

    async #pull(peer: Peer): Promise<void> {
        if (this.#asked.has(peer.name)) {
            return;
        }
        this.#asked.add(peer.name);
        const { clock, pool, replica, readsStore } = this.options;
        const askedAt = clock.now();
        const params = { revision: replica.revision, full: !readsStore() || replica.revision === 0 };
        const answer = await pool.call<PullAnswer>(peer, "replica.pull", params, PULL_TIMEOUT_MILLISECONDS);
        this.#asked.delete(peer.name);
        if (answer.isOk()) {
            this.#adopt(answer.value, askedAt, peer.name);
        }
    }

    async #pullSeed(address: string): Promise<void> {
        const { clock, pool, replica } = this.options;
        const askedAt = clock.now();
        const params = { revision: replica.revision, full: true };
        const answer = await pool.callAddress<PullAnswer>(address, "replica.pull", params);
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
        if (answer.revision > replica.revision) {
            this.options.onNewerRevision(answer.revision);
        }
    }

    #answerPull(revision: number, full: boolean): PullAnswer {
        const { clock, replica } = this.options;
        const age = Math.min(1e9, clock.now() - replica.confirmedAt);
        const newer = full && replica.revision > revision;
        return { revision: replica.revision, age, ...newer ? { snapshot: replica.snapshot() } : {} };
    }
}
