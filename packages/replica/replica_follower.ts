import { PeriodicTask, sleep } from "../clocks/mod.ts";
import type { ItemReplica } from "./item_replica.ts";
import type { ItemSource } from "./item_source.ts";
import type { ReplicaFollowerOptions } from "./replica_follower_options.ts";

/** Time that one watch waits; it bounds how long the loss of a connection stays unnoticed. */
const WATCH_MILLISECONDS = 800;
/** Time that a watch waits after one that has brought changes, which confirms the copy only as of its own start. */
const WATCH_AFTER_CHANGES_MILLISECONDS = 300;
/** Time in milliseconds between changes and the next watch, so that changes that come together cost one call. */
const GATHER_MILLISECONDS = 60;
/** First time in milliseconds of a process in which all instances read, since they do not know their peers. */
const FIRST_MILLISECONDS = 2_500;
/** Time in milliseconds between changes and the next watch in that time, for each instance; bounded below. */
const FIRST_GATHER_MILLISECONDS_EACH = 8;
const LONGEST_GATHER_MILLISECONDS = 600;
/** Age in milliseconds of the copy above which the store is read although peers are to do so. */
const LATE_MILLISECONDS = 1_500;
/** Time in milliseconds for which an instance goes on reading after its peers' news were late. */
const TAKEOVER_MILLISECONDS = 2_500;
/** Time in milliseconds after which it is checked again whether the store is to be read. */
const IDLE_MILLISECONDS = 100;
const FIRST_RETRY_MILLISECONDS = 100;
const LONGEST_RETRY_MILLISECONDS = 800;

/**
 * Keeps a replica up to date from the store: one snapshot, then a watch from its revision. While peers read the store
 * and pass on what they learn, the store is left alone.
 *
 * @example
 * ```ts
 * const follower = new ReplicaFollower(replica, source, { prefix: "", clock, isReader, onRead, logger, metrics });
 * follower.readUpTo(17);
 * await follower.close();
 * ```
 */
export class ReplicaFollower {
    readonly #task: PeriodicTask;
    readonly #startedAt: number;
    #needsSnapshot = true;
    #retryMilliseconds = 0;
    #connected = false;
    #readsUntil = Number.NEGATIVE_INFINITY;
    #wantedRevision = 0;
    #changed = false;
    #wake = new AbortController();

    /**
     * @param replica The replica.
     * @param source Where it is read from.
     * @param options What the follower works with.
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
     * Reads the store at once if the copy is older than a revision that a peer has told of.
     *
     * @param revision The revision.
     */
    readUpTo(revision: number): void {
        this.#wantedRevision = Math.max(this.#wantedRevision, revision);
        this.#wake.abort();
    }

    /**
     * Stops following.
     *
     * @returns A promise that resolves once the call under way has ended.
     */
    async close(): Promise<void> {
        await this.#task.close();
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#retryMilliseconds > 0) {
            await sleep(this.#retryMilliseconds, signal);
        }
        if (!this.#mustRead()) {
            this.#wake = new AbortController();
            await sleep(IDLE_MILLISECONDS, AbortSignal.any([signal, this.#wake.signal]));
            return;
        }
        await (this.#needsSnapshot ? this.#list() : this.#watch(signal));
    }

    #mustRead(): boolean {
        const now = this.options.clock.now();
        if (this.replica.revision > 0 && now - this.replica.confirmedAt > LATE_MILLISECONDS) {
            this.#readsUntil = now + TAKEOVER_MILLISECONDS;
        }
        return !this.#connected || now < this.#readsUntil || this.#wantedRevision > this.replica.revision
            || this.options.isReader();
    }

    async #list(): Promise<void> {
        const readAt = this.options.clock.now();
        const listed = await this.source.list(this.options.prefix);
        if (listed.isErr()) {
            this.#fail(listed.error.message);
            return;
        }
        const after = this.replica.revision;
        this.replica.replace(listed.value, readAt);
        this.#succeed();
        this.#needsSnapshot = listed.value.revision < this.replica.revision;
        this.options.onRead({ after, revision: listed.value.revision, changes: undefined });
    }

    async #watch(signal: AbortSignal): Promise<void> {
        const wait = this.#changed ? WATCH_AFTER_CHANGES_MILLISECONDS : WATCH_MILLISECONDS;
        if (this.#changed) {
            await sleep(this.#gatherTime(), signal);
        }
        const readAt = this.options.clock.now();
        const after = this.replica.revision;
        const answer = await this.source.watch(this.options.prefix, after, wait);
        if (answer.isErr()) {
            this.#fail(answer.error.message);
            return;
        }
        if (answer.value.kind === "history-lost") {
            this.options.metrics.increment("store_history_lost_total");
            this.options.logger.warn("store history lost; reading everything again", { revision: after });
            this.#needsSnapshot = true;
            return;
        }
        const { changes, revision } = answer.value;
        // A watch without changes has seen the store as it was at the end of its wait.
        this.#changed = changes.length > 0;
        const waited = !this.#changed && this.options.clock.now() - readAt >= wait;
        this.replica.apply(changes, revision, waited ? readAt + wait : readAt);
        this.#succeed();
        if (this.#changed) {
            this.options.onRead({ after, revision, changes });
        }
    }

    /** Time in milliseconds to wait for more changes before the next watch. */
    #gatherTime(): number {
        const { clock, instanceCount } = this.options;
        const settled = clock.now() - this.#startedAt >= FIRST_MILLISECONDS;
        const spread = settled ? 0 : instanceCount() * FIRST_GATHER_MILLISECONDS_EACH;
        return Math.min(LONGEST_GATHER_MILLISECONDS, Math.max(GATHER_MILLISECONDS, spread));
    }

    #succeed(): void {
        this.#retryMilliseconds = 0;
        if (!this.#connected) {
            this.#connected = true;
            this.options.logger.info("store regained", { revision: this.replica.revision });
        }
    }

    #fail(message: string): void {
        // A watch that was cut may have missed changes, so the next call reads everything.
        this.#needsSnapshot = true;
        this.options.metrics.increment("store_follow_failures_total");
        this.#retryMilliseconds = this.#retryMilliseconds === 0
            ? FIRST_RETRY_MILLISECONDS
            : Math.min(LONGEST_RETRY_MILLISECONDS, this.#retryMilliseconds * 2);
        if (this.#connected) {
            this.#connected = false;
            this.options.logger.warn("store lost", { revision: this.replica.revision, error: message });
        }
    }
}
