import { RepeatingTask, sleep } from "../clocks/mod.ts";
import type { ItemReplica } from "./item_replica.ts";
import type { ItemSource } from "./item_source.ts";
import type { ReplicaFollowerOptions } from "./replica_follower_options.ts";

/** Time that one watch waits; it bounds how long the loss of a connection stays unnoticed. */
const WATCH_MILLISECONDS = 1_000;
/** Silence of the store in milliseconds after which entries may have lapsed although their servers live. */
const OUTAGE_MILLISECONDS = 2_500;
/** Time in milliseconds in which entries that lapsed are written again. */
const RECOVERY_MILLISECONDS = 2_300;
const FIRST_RETRY_MILLISECONDS = 100;
const LONGEST_RETRY_MILLISECONDS = 800;

/**
 * Keeps a replica up to date from the store: one snapshot, then a watch from its revision.
 *
 * @example
 * ```ts
 * const follower = new ReplicaFollower(replica, source, { prefix: "", clock, logger, metrics });
 * await follower.close();
 * ```
 */
export class ReplicaFollower {
    readonly #task: RepeatingTask;
    #needsSnapshot = true;
    #retryMilliseconds = 0;
    #connected = false;
    #succeededAt = Number.NEGATIVE_INFINITY;
    #regainedAt = Number.NEGATIVE_INFINITY;

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
        this.#task = new RepeatingTask(0, signal => this.#step(signal), error => {
            this.#fail(String(error));
        });
    }

    /** Whether the last call to the store succeeded. */
    get connected(): boolean {
        return this.#connected;
    }

    /**
     * Tells whether the store is away or has come back a moment ago, so that entries may be missing that are renewed.
     *
     * @returns Whether it is.
     */
    isRecovering(): boolean {
        return !this.#connected || this.options.clock.now() - this.#regainedAt < RECOVERY_MILLISECONDS;
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
        await (this.#needsSnapshot ? this.#list() : this.#watch());
    }

    async #list(): Promise<void> {
        const readAt = this.options.clock.now();
        const listed = await this.source.list(this.options.prefix);
        if (listed.isErr()) {
            this.#fail(listed.error.message);
            return;
        }
        this.#succeed();
        this.replica.replace(listed.value, readAt);
        this.#needsSnapshot = listed.value.revision < this.replica.revision;
    }

    async #watch(): Promise<void> {
        const readAt = this.options.clock.now();
        const after = this.replica.revision;
        const answer = await this.source.watch(this.options.prefix, after, WATCH_MILLISECONDS);
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
        this.#succeed();
        this.replica.apply(answer.value.changes, answer.value.revision, readAt);
    }

    #succeed(): void {
        const now = this.options.clock.now();
        if (now - this.#succeededAt > OUTAGE_MILLISECONDS) {
            this.#regainedAt = now;
        }
        this.#succeededAt = now;
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
