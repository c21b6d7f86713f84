import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask, sleep } from "../clocks/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { selectMembers } from "../membership/mod.ts";
import {
    comparePositions,
    type ItemChange,
    positionOf,
    type ReplicaUpdate,
    type StorePosition,
} from "../replica/mod.ts";
import { shiftTimes } from "./_shift_times.ts";
import { HistoryExchange } from "./history_exchange.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { Peer } from "./peer.ts";
import type { PullResponse } from "./pull_response.ts";
import type { ReplicaExchangeOptions } from "./replica_exchange_options.ts";

/** Number of instances that read the store; two, so that updates continue when one of them fails. */
const READER_COUNT = 2;
/** The same for each of several reader groups; while its reader is replaced, each of its instances may read itself. */
const READER_COUNT_PER_GROUP = 1;
const READER_GROUP = "store-readers";
/** Age of a peer's last report above which the peer does not count as a reader. */
const MAXIMUM_READER_REPORT_AGE_MILLISECONDS = 1_300;
const PULL_PERIOD_MILLISECONDS = 250;
/** Maximum pulls that one reader serves in a second; with more peers, each of them pulls less often. */
const PULLS_PER_SECOND = 150;
/** Longest time between two pulls, so that the replica does not become stale. */
const MAXIMUM_PULL_PERIOD_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;
const PULL_TIMEOUT_MILLISECONDS = 600;
/** Age of the replica above which it is pulled from any peer, not only from readers. */
const STALE_REPLICA_MILLISECONDS = 1_600;
/** Time after entering an era in which every instance, readers too, asks peers for what the store lacks. */
const ERA_START_MILLISECONDS = 5_000;
/** Maximum bytes that a reader sends to all peers for one update; for a larger one, peers read the store. */
const PUSH_BUDGET_BYTES = 200_000;

/** Instances of a version without eras send none; what they know then counts as older. */
const positionSchema = z.object({ era: z.number().default(0), revision: z.number() });
const itemSchema = positionSchema.extend({ key: z.string(), value: z.string().optional() });
const changeSchema = z.union([
    z.object({ kind: z.literal("written"), item: itemSchema }),
    positionSchema.extend({ kind: z.literal("removed"), key: z.string() }),
]);
const updateSchema = positionSchema.extend({ after: positionSchema, changes: z.array(changeSchema).optional() });
const pullSchema = positionSchema.extend({ full: z.boolean() });

/**
 * Divides the reading of the store among the instances of a reader group: few of them read it, send its changes to the
 * others and respond to pulls with the age of their replicas. An instance that the store refuses pulls snapshots from
 * its peers.
 *
 * @example
 * ```ts
 * const exchange = new ReplicaExchange(options);
 * await exchange.start();
 * exchange.isReader(); // true while no peer is known
 * await exchange.close();
 * ```
 */
export class ReplicaExchange {
    readonly #history: HistoryExchange;
    readonly #pendingPulls = new Set<string>();
    #pullTask: PeriodicTask | undefined;
    /** Begins anywhere, so that instances that start together ask different peers. */
    #pullCount = Math.floor(Math.random() * PULLS_PER_SECOND);
    #wasReader = false;
    #lastPullAt = Number.NEGATIVE_INFINITY;

    /**
     * @param options Dependencies of the exchange.
     */
    constructor(private readonly options: ReplicaExchangeOptions) {
        const { server } = options;
        this.#history = new HistoryExchange(options);
        server.handle("replica.pull", pullSchema, async ({ full, ...position }) => this.#respondToPull(position, full));
        server.handle("replica.changes", updateSchema, async update => this.#applyUpdate(update));
    }

    /**
     * Asks the seeds for what they know, since the store may have come back from an older copy, and starts to pull from
     * readers.
     *
     * @returns A promise that resolves once one of the seeds has responded, or none of them did in time.
     */
    async start(): Promise<void> {
        const { self, isFirstStart, seedAddresses, logger } = this.options;
        if (!isFirstStart) {
            const noneResponded = sleep(PULL_TIMEOUT_MILLISECONDS);
            const seeds = seedAddresses.filter(address => address !== self.address);
            const responses = seeds.map(async seed => await this.#pullFromSeed(seed) || await noneResponded);
            await Promise.race([noneResponded, ...responses]);
        }
        this.#pullTask = new PeriodicTask(PULL_PERIOD_MILLISECONDS, async () => this.#step(), error => {
            logger.error("replica exchange failed", { error: String(error) });
        });
    }

    /**
     * Stops pulling.
     *
     * @returns A promise that resolves once the task has ended.
     */
    async close(): Promise<void> {
        await this.#pullTask?.close();
    }

    /**
     * Returns whether this instance is one of those that read the store.
     *
     * @returns Whether it is a reader.
     */
    isReader(): boolean {
        return this.#readers().includes(instanceId(this.options.self));
    }

    /**
     * Sends an update from the store to the peers of the reader group, if this instance is a reader.
     *
     * @param update Result of a read of the store.
     */
    publish(update: ReplicaUpdate): void {
        if (!this.isReader()) {
            return;
        }
        const peers = this.#groupPeers();
        const size = JSON.stringify(update.changes ?? []).length * peers.length;
        const message = size > PUSH_BUDGET_BYTES ? { ...update, changes: undefined } : update;
        this.options.pool.broadcast(peers.map(({ peer }) => peer), "replica.changes", message);
    }

    /** The other instances of the reader group. */
    #groupPeers(): KnownPeer[] {
        const { self, members } = this.options;
        return members.partition.readerGroupOf(self.name).flatMap(name => members.find(name) ?? []);
    }

    #readers(): string[] {
        const { self, members, readsStore } = this.options;
        const { partition } = members;
        const cell = new Set(partition.cellOf(self.name)?.members);
        const candidates = this.#groupPeers()
            .filter(({ peer: { name }, readsStore: reads }) =>
                // One that failed to answer is relied on again after its next report. Only members of the cell report.
                !members.isSuspected(name)
                && (!cell.has(name)
                    || (reads && members.hasReportedWithin(name, MAXIMUM_READER_REPORT_AGE_MILLISECONDS)))
            )
            .map(({ peer }) => instanceId(peer));
        if (readsStore()) {
            candidates.push(instanceId(self));
        }
        const count = partition.hasOneReaderGroup ? READER_COUNT : READER_COUNT_PER_GROUP;
        return selectMembers(candidates, READER_GROUP, Math.min(count, candidates.length));
    }

    #applyUpdate(update: z.infer<typeof updateSchema>): void {
        const { replica } = this.options;
        const canApply = update.after.era === replica.position.era
            && comparePositions(update.after, replica.position) <= 0;
        if (update.changes && canApply) {
            replica.apply(update.changes as ItemChange[], update);
        }
        else if (comparePositions(update, replica.position) > 0) {
            this.options.onNewerPosition(positionOf(update));
        }
    }

    #step(): void {
        const { clock, replica } = this.options;
        this.#logReaderChange();
        this.#history.ask();
        if (clock.now() - replica.confirmedAt >= STALE_REPLICA_MILLISECONDS) {
            this.#pullFromAnyPeer();
            return;
        }
        if (clock.now() - replica.eraEnteredAt < ERA_START_MILLISECONDS) {
            this.#pullFromAnyPeer();
        }
        const period = Math.min(
            MAXIMUM_PULL_PERIOD_MILLISECONDS,
            this.#groupPeers().length / PULLS_PER_SECOND * MILLISECONDS_PER_SECOND,
        );
        if (monotonicMilliseconds() - this.#lastPullAt < period - PULL_PERIOD_MILLISECONDS / 2) {
            return;
        }
        this.#lastPullAt = monotonicMilliseconds();
        const readers = new Set(this.#readers());
        if (!readers.has(instanceId(this.options.self))) {
            this.#groupPeers().filter(({ peer }) => readers.has(instanceId(peer))).forEach(({ peer }) =>
                this.#startPull(peer)
            );
        }
    }

    #logReaderChange(): void {
        const isReader = this.isReader();
        if (isReader !== this.#wasReader) {
            const outcome = isReader ? "read here" : "read by peers";
            this.options.logger.info("who reads the store has changed", { outcome, readers: this.#readers() });
            this.#wasReader = isReader;
        }
    }

    #pullFromAnyPeer(): void {
        const peers = this.options.members.peers();
        const pullIndex = this.#pullCount++;
        const knownPeer = peers[pullIndex % Math.max(1, peers.length)];
        if (knownPeer) {
            this.#startPull(knownPeer.peer);
            return;
        }
        const seeds = this.options.seedAddresses.filter(address => address !== this.options.self.address);
        const seed = seeds[pullIndex % Math.max(1, seeds.length)];
        if (seed !== undefined) {
            const onError = logFailure(this.options.logger, "pull from a seed failed", { seed });
            this.#pullFromSeed(seed).catch(onError);
        }
    }

    #startPull(peer: Peer): void {
        if (!this.#pendingPulls.has(peer.name)) {
            this.#pendingPulls.add(peer.name);
            this.#pullFrom(peer)
                .catch(logFailure(this.options.logger, "pull from a peer failed", { peer: peer.name }))
                .finally(() => this.#pendingPulls.delete(peer.name));
        }
    }

    async #pullFrom(peer: Peer): Promise<void> {
        const { clock, pool, members, replica, readsStore } = this.options;
        const requestedAt = clock.now();
        const params = { ...replica.position, full: !readsStore() || !replica.isFilled };
        const response = await pool.call<PullResponse>(peer, "replica.pull", params, PULL_TIMEOUT_MILLISECONDS);
        if (response.isErr() || !response.value.readsStore) {
            members.suspect(peer.name);
        }
        if (response.isOk()) {
            this.#applyPullResponse(response.value, requestedAt, peer.name);
        }
    }

    /** Returns whether the seed has responded. */
    async #pullFromSeed(address: string): Promise<boolean> {
        const { clock, pool, replica } = this.options;
        const requestedAt = clock.now();
        const params = { ...replica.position, full: true };
        const response = await pool.callAddress<PullResponse>(address, "replica.pull", params);
        if (response.isOk()) {
            this.#applyPullResponse(response.value, requestedAt, address);
        }
        return response.isOk();
    }

    #applyPullResponse(response: PullResponse, requestedAt: number, from: string): void {
        const { clock, replica, logger, metrics, onNewerPosition } = this.options;
        if (!Number.isInteger(response.era)) {
            // The peer's version has no eras.
            return;
        }
        const confirmedAt = requestedAt - response.age;
        if (response.snapshot && comparePositions(response, replica.position) > 0) {
            logger.info("items taken from a peer", { peer: from, ...positionOf(response), age: response.age });
            metrics.increment("replica_snapshots_from_peers_total");
            replica.replace(response.snapshot, confirmedAt);
        }
        if (response.retained) {
            replica.retain(shiftTimes(response.retained, requestedAt), response, clock.now());
        }
        replica.confirm(response, confirmedAt);
        if (comparePositions(response, replica.position) > 0) {
            onNewerPosition(positionOf(response));
        }
    }

    #respondToPull(position: StorePosition, full: boolean): PullResponse {
        const { clock, replica, readsStore } = this.options;
        const now = clock.now();
        // JSON cannot encode the infinite age of a replica that was never confirmed.
        const age = Math.min(1e9, now - replica.confirmedAt);
        const includesSnapshot = full && comparePositions(replica.position, position) > 0;
        const retained = shiftTimes(replica.retained(), -now);
        return {
            ...replica.position,
            age,
            readsStore: readsStore(),
            ...includesSnapshot ? { snapshot: replica.snapshot() } : {},
            ...retained.length > 0 ? { retained } : {},
        };
    }
}
