import { PeriodicTask, sleep } from "../clocks/mod.ts";
import { comparePositions } from "./compare_positions.ts";
import type { ItemReplica } from "./item_replica.ts";
import type { ItemSource } from "./item_source.ts";
import { positionOf } from "./position_of.ts";
import type { ReplicaFollowerOptions } from "./replica_follower_options.ts";
import type { StorePosition } from "./store_position.ts";

/** Longest wait of one watch; bounds the time until a lost connection is noticed. */
const WATCH_WAIT_MILLISECONDS = 800;
/** Wait of a watch after one with changes; short, as that one confirms the replica only as of its start. */
const WATCH_WAIT_AFTER_CHANGES_MILLISECONDS = 300;
/** Shortest delay between a watch that returned changes and the next one, so that changes close together cost one call. */
const MINIMUM_BATCH_DELAY_MILLISECONDS = 60;
/** Time after the start in which every instance reads the store, since it does not know its peers yet. */
const STARTUP_MILLISECONDS = 2_500;
/** The same during startup, when all instances of a fleet that starts register and each of them still reads the store. */
const STARTUP_BATCH_DELAY_MILLISECONDS = 600;
/** Age of the replica above which the store is read although peers should read it. */
const STALE_REPLICA_MILLISECONDS = 1_500;
/** Time for which an instance keeps reading the store after its peers' updates were late. */
const TAKEOVER_MILLISECONDS = 2_500;
/** Interval at which an instance that relies on its peers checks whether it must read the store. */
const READ_CHECK_MILLISECONDS = 100;
const MINIMUM_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 800;
/** The same while peers confirm the replica, so that an instance that the store rejects does not press it for nothing. */
const MAXIMUM_CONFIRMED_RETRY_MILLISECONDS = 3_000;

/**
 * Keeps a replica up to date from the store: takes a snapshot, then watches for changes after its position. While peers
 * read the store and forward its changes, this instance does not call the store.
 *
 * @example
 * ```ts
 * const follower = new ReplicaFollower(replica, source, options);
 * follower.catchUpTo({ era: 1, revision: 17 });
 * await follower.close();
 * ```
 */
export class ReplicaFollower {
    readonly #task: PeriodicTask;
    readonly #startedAt: number;
    #needsSnapshot = true;
    #retryMilliseconds = 0;
    #connected = false;
    #takeoverUntil = Number.NEGATIVE_INFINITY;
    #announcedPosition: StorePosition = { era: 0, revision: 0 };
    #lastWatchHadChanges = false;
    #lastSnapshotWasOlder = false;
    #wake = new AbortController();

    /**
     * @param replica The replica.
     * @param source Source of the items.
     * @param options Dependencies of the follower.
     */
    constructor(
        private readonly replica: ItemReplica,
        private readonly source: ItemSource,
        private readonly options: ReplicaFollowerOptions,
    ) {
        this.#startedAt = options.clock.now();
        this.#task = new PeriodicTask(0, signal => this.#step(signal), error => {
            this.#fail(String(error));
        });
    }

    /** Whether the last call to the store succeeded. */
    get connected(): boolean {
        return this.#connected;
    }

    /**
     * Reads the store at once if the replica is older than a position that a peer has announced.
     *
     * @param position The position.
     */
    catchUpTo(position: StorePosition): void {
        if (comparePositions(position, this.#announcedPosition) > 0) {
            this.#announcedPosition = positionOf(position);
            // A watch would wait for changes after a revision of the era before.
            this.#needsSnapshot ||= position.era > this.replica.position.era;
        }
        this.#wake.abort();
    }

    /**
     * Stops updating the replica.
     *
     * @returns A promise that resolves once the current call has ended.
     */
    async close(): Promise<void> {
        await this.#task.close();
    }

    async #step(signal: AbortSignal): Promise<void> {
        for (let waited = 0; waited < this.#retryMilliseconds && !signal.aborted; waited += READ_CHECK_MILLISECONDS) {
            // Peers that no longer confirm the replica end a long pause.
            const age = this.options.clock.now() - this.replica.confirmedAt;
            if (waited >= MAXIMUM_RETRY_MILLISECONDS && age >= STALE_REPLICA_MILLISECONDS) {
                break;
            }
            await sleep(Math.min(READ_CHECK_MILLISECONDS, this.#retryMilliseconds - waited), signal);
        }
        if (!this.#mustRead()) {
            this.#wake = new AbortController();
            const pause = this.#untilAwaitedRead(this.options.clock.now(), READ_CHECK_MILLISECONDS);
            await sleep(pause, AbortSignal.any([signal, this.#wake.signal]));
            return;
        }
        await (this.#needsSnapshot ? this.#list() : this.#watch(signal));
    }

    #mustRead(): boolean {
        const now = this.options.clock.now();
        if (this.replica.isFilled && now - this.replica.confirmedAt > STALE_REPLICA_MILLISECONDS) {
            this.#takeoverUntil = now + TAKEOVER_MILLISECONDS;
        }
        return !this.#connected || now < this.#takeoverUntil || this.options.isReader() || this.#isAwaited(now)
            || comparePositions(this.#announcedPosition, this.replica.position) > 0;
    }

    async #list(): Promise<void> {
        const readAt = this.options.clock.now();
        const listed = await this.source.list(this.options.prefix);
        if (listed.isErr()) {
            this.#fail(listed.error.message);
            return;
        }
        const after = this.replica.position;
        this.replica.replace(listed.value, readAt);
        this.#succeed();
        this.#needsSnapshot = comparePositions(listed.value, this.replica.position) < 0;
        if (this.#needsSnapshot) {
            this.#retryMilliseconds = MINIMUM_RETRY_MILLISECONDS;
        }
        this.#reportOlderSnapshot(listed.value);
        this.options.onRead({ after, ...positionOf(listed.value), changes: undefined });
    }

    /** Logs the first of several snapshots in a row that are older than the replica. */
    #reportOlderSnapshot(snapshot: StorePosition): void {
        if (this.#needsSnapshot) {
            this.options.metrics.increment("store_older_snapshots_total");
            if (!this.#lastSnapshotWasOlder) {
                this.options.logger.warn("snapshot is older than the replica", {
                    snapshot: positionOf(snapshot),
                    ...this.replica.position,
                });
            }
        }
        this.#lastSnapshotWasOlder = this.#needsSnapshot;
    }

    async #watch(signal: AbortSignal): Promise<void> {
        const longestWait = this.#lastWatchHadChanges ? WATCH_WAIT_AFTER_CHANGES_MILLISECONDS : WATCH_WAIT_MILLISECONDS;
        if (this.#lastWatchHadChanges) {
            await sleep(this.#untilAwaitedRead(this.options.clock.now(), this.#batchDelay()), signal);
        }
        const readAt = this.options.clock.now();
        const wait = this.#untilAwaitedRead(readAt, longestWait);
        const after = this.replica.position;
        const response = await this.source.watch(this.options.prefix, after, wait);
        if (response.isErr()) {
            this.#fail(response.error.message);
            return;
        }
        if (response.value.kind === "history-lost") {
            this.options.metrics.increment("store_history_lost_total");
            this.options.logger.warn("store no longer keeps the requested changes; taking a new snapshot", {
                ...after,
            });
            this.#needsSnapshot = true;
            return;
        }
        const { changes } = response.value;
        // A watch without changes confirms the replica as of the end of its wait.
        this.#lastWatchHadChanges = changes.length > 0;
        const waitedFully = !this.#lastWatchHadChanges && this.options.clock.now() - readAt >= wait;
        this.replica.apply(changes, response.value, waitedFully ? readAt + wait : readAt);
        this.#succeed();
        if (this.#isAwaited(readAt)) {
            // The read began in time and confirmed nothing, as the replica is ahead of it by now.
            this.#retryMilliseconds = MINIMUM_RETRY_MILLISECONDS;
        }
        if (this.#lastWatchHadChanges) {
            this.options.onRead({ after, ...positionOf(response.value), changes });
        }
    }

    /** Returns the delay in milliseconds before the next watch. */
    #batchDelay(): number {
        const startupEnded = this.options.clock.now() - this.#startedAt >= STARTUP_MILLISECONDS;
        return startupEnded ? MINIMUM_BATCH_DELAY_MILLISECONDS : STARTUP_BATCH_DELAY_MILLISECONDS;
    }

    /** Whether a read that begins now is one that this instance waits for. */
    #isAwaited(now: number): boolean {
        return now >= (this.options.awaitedReadAt() ?? Number.POSITIVE_INFINITY);
    }

    /** Returns a wait in whole milliseconds, cut short at the time from which on a read is awaited. */
    #untilAwaitedRead(now: number, milliseconds: number): number {
        const awaitedAt = this.options.awaitedReadAt() ?? Number.POSITIVE_INFINITY;
        return Math.max(0, Math.min(milliseconds, Math.ceil(awaitedAt - now)));
    }

    #succeed(): void {
        this.#retryMilliseconds = 0;
        if (!this.#connected) {
            this.#connected = true;
            this.options.logger.info("store regained", { ...this.replica.position });
        }
    }

    #fail(message: string): void {
        // A watch that failed may have missed changes, so the next call takes a snapshot.
        this.#needsSnapshot = true;
        this.options.metrics.increment("store_follow_failures_total");
        const now = this.options.clock.now();
        this.replica.times.recordFailure(now);
        const age = now - this.replica.confirmedAt;
        const longest = age < STALE_REPLICA_MILLISECONDS
            ? MAXIMUM_CONFIRMED_RETRY_MILLISECONDS
            : MAXIMUM_RETRY_MILLISECONDS;
        this.#retryMilliseconds = this.#retryMilliseconds === 0
            ? MINIMUM_RETRY_MILLISECONDS
            : Math.min(longest, this.#retryMilliseconds * 2);
        if (this.#connected) {
            this.#connected = false;
            this.options.logger.warn("store lost", { ...this.replica.position, error: message });
        }
    }
}
