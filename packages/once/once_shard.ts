import type * as z from "zod";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { comparePositions } from "../replica/mod.ts";
import { type Store, type StoredValue, updateValue } from "../store/mod.ts";
import { mergeRecords } from "./_merge_records.ts";
import type { BeginResult } from "./begin_result.ts";
import { onceParameters } from "./once_parameters.ts";
import type { OnceRecord } from "./once_record.ts";
import type { OnceShardOptions } from "./once_shard_options.ts";

const RETENTION_MILLISECONDS = 24 * 3_600_000;
const MAXIMUM_SHARD_BYTES = 900_000;
const MAXIMUM_RESPONSE_CHARACTERS = 16_384;
const DEFAULT_COMMIT_DEADLINE_MILLISECONDS = 2_000;
const CACHE_MILLISECONDS = 1_000;
/** Length of a record's key in the JSON text, with its quotes, colon and comma. */
const KEY_CHARACTERS = 36;
/** Cached results of `sizeOf`. */
const cachedSizes = new WeakMap<OnceRecord, number>();

type BeginParameters = z.infer<typeof onceParameters.begin>;
type FinishParameters = z.infer<typeof onceParameters.finish>;
type Records = Record<string, OnceRecord>;

/** A call to the shard that waits for a commit. */
type PendingCall =
    | { kind: "begin"; params: BeginParameters; answer: (result: BeginResult) => void; }
    | { kind: "finish"; params: FinishParameters; answer: (stored: boolean) => void; };

/** Effect of a batch on the records. */
interface BatchResult {
    records: Records;
    changed: boolean;
    /** Results of the `begin` calls of the batch. */
    begun: Map<PendingCall, BeginResult>;
}

/**
 * One shard of the records of once-only calls: a single value in the store, changed only by compare-and-swap.
 *
 * Calls that arrive during a commit are batched into the next one. A home that was suspended while another home wrote
 * cannot commit, since its revision is no longer the latest. When the store comes back from an older copy, the first commit
 * writes again what any home knows and the store has lost.
 *
 * @example
 * ```ts
 * const shard = new OnceShard(store, "once/0");
 * await shard.begin({ key, attempt: "a", fingerprint, owner: "instance-1/1f" }); // { kind: "begun" }
 * ```
 */
export class OnceShard {
    #pending: PendingCall[] = [];
    #committing = false;
    #cached: StoredValue | undefined;
    #cachedAt = 0;
    /** Newest value that the store held; unlike the cached one, it stays when a commit fails. */
    #known: StoredValue | undefined;
    /** Values that this object created; they need no validation. */
    readonly #ownValues = new WeakSet<object>();

    /**
     * @param store Store that holds the shard.
     * @param storeKey Store key of the shard.
     * @param options Options with defaults.
     */
    constructor(
        private readonly store: Store,
        private readonly storeKey: string,
        private readonly options: OnceShardOptions = {},
    ) {}

    /**
     * Records the intent to send a call, unless the call already has a record.
     *
     * @param params The call.
     * @returns The result; `"begun"` only after the intent is in the store.
     */
    begin(params: BeginParameters): Promise<BeginResult> {
        return new Promise(answer => this.#enqueue({ kind: "begin", params, answer }));
    }

    /**
     * Records the outcome of a call.
     *
     * @param params The outcome.
     * @returns Whether the outcome is in the store.
     */
    finish(params: FinishParameters): Promise<boolean> {
        return new Promise(answer => this.#enqueue({ kind: "finish", params, answer }));
    }

    /** Records that the store held when it last responded. */
    get knownRecords(): Records {
        return this.#known ? this.#recordsOf(this.#known) : {};
    }

    #enqueue(pending: PendingCall): void {
        this.#pending.push(pending);
        if (!this.#committing) {
            const { logger } = this.options;
            this.#commitAll().catch((error: unknown) => {
                logger?.error("once-only calls cannot be recorded", { key: this.storeKey, error: String(error) });
            });
        }
    }

    async #commitAll(): Promise<void> {
        this.#committing = true;
        let batch: PendingCall[] = [];
        try {
            while (this.#pending.length > 0) {
                await this.options.commitRateLimiter?.acquire();
                batch = this.#pending.splice(0);
                await this.#commit(batch);
            }
        }
        catch (error) {
            // The value in the store may not be a shard. Calls that were answered before ignore a second answer.
            this.#cached = undefined;
            [...batch, ...this.#pending.splice(0)].forEach(answerUnavailable);
            throw error;
        }
        finally {
            this.#committing = false;
        }
    }

    async #commit(batch: PendingCall[]): Promise<void> {
        const cachedStart = this.#cachedStartFor(batch);
        let applied: BatchResult | undefined;
        const result = await updateValue(
            this.store,
            this.storeKey,
            cachedStart,
            this.options.commitDeadlineMilliseconds ?? DEFAULT_COMMIT_DEADLINE_MILLISECONDS,
            async current => {
                const stored = this.#recordsOf(current);
                const complete = await this.#withLostRecords(current, stored);
                if (!complete) {
                    return { kind: "wait", reason: "another member may know records that the store has lost" };
                }
                applied = this.#apply(complete, batch);
                applied.changed ||= complete !== stored;
                if (!applied.changed) {
                    return { kind: "done" };
                }
                const value = { records: applied.records, era: current.era };
                this.#ownValues.add(value);
                return { kind: "write", value };
            },
        );
        this.#cached = result.isOk() ? result.value : undefined;
        if (result.isOk() && (!this.#known || comparePositions(result.value, this.#known) >= 0)) {
            this.#known = result.value;
        }
        if (!cachedStart || applied?.changed) {
            // A batch that was served from the cache alone does not confirm that the cached value is current.
            this.#cachedAt = monotonicMilliseconds();
        }
        for (const pending of batch) {
            if (pending.kind === "begin") {
                const beginResult = result.isOk() ? applied?.begun.get(pending) : undefined;
                pending.answer(beginResult ?? { kind: "unavailable" });
            }
            else {
                pending.answer(result.isOk());
            }
        }
    }

    /**
     * Adds to the records of a value those that the store has lost, unless a home has done so in this era.
     *
     * @returns `records` itself if none is lost, or undefined while a member that may know some does not respond.
     */
    async #withLostRecords(current: StoredValue, records: Records): Promise<Records | undefined> {
        if (this.#eraOf(current) === current.era) {
            return records;
        }
        const collected = this.options.collectRecords ? await this.options.collectRecords() : [];
        return collected && [this.knownRecords, ...collected].reduce(mergeRecords, records);
    }

    /** Returns the era in which a value was written. */
    #eraOf({ revision, value }: StoredValue): number {
        return revision === 0 ? 0 : (value as { era?: number; }).era ?? 0;
    }

    /** Returns the records in a value. Validates the value against the schema unless this object created it. */
    #recordsOf({ revision, value }: StoredValue): Records {
        if (revision === 0) {
            return {};
        }
        if (typeof value === "object" && value && this.#ownValues.has(value)) {
            return (value as { records: Records; }).records;
        }
        return onceParameters.shard.parse(value).records;
    }

    /**
     * Returns the cached value for a commit to start from, or undefined if the store must be read. A read is needed if
     * the record of an outcome is not in the cached value, since the call was begun at another home.
     */
    #cachedStartFor(batch: PendingCall[]): StoredValue | undefined {
        const cached = this.#cached;
        if (!cached || monotonicMilliseconds() - this.#cachedAt > CACHE_MILLISECONDS) {
            return undefined;
        }
        const records = this.#recordsOf(cached);
        const hasAllRecords = batch.every(({ kind, params }) =>
            kind === "begin" || records[params.key]?.attempt === params.attempt
        );
        return hasAllRecords ? cached : undefined;
    }

    #apply(before: Records, batch: PendingCall[]): BatchResult {
        const records = this.#withoutExpired(before);
        const result: BatchResult = { records, changed: false, begun: new Map() };
        let bytes = Object.values(records).reduce((sum, record) => sum + sizeOf(record), 0);
        for (const pending of batch) {
            if (pending.kind === "finish") {
                result.changed = applyFinish(records, pending.params) || result.changed;
                continue;
            }
            const beginResult = this.#applyBegin(records, pending.params, bytes);
            result.begun.set(pending, beginResult);
            if (beginResult.kind === "begun") {
                bytes += MAXIMUM_RESPONSE_CHARACTERS;
                result.changed = true;
            }
        }
        return result;
    }

    #applyBegin(records: Records, params: BeginParameters, bytes: number): BeginResult {
        const { key, attempt, fingerprint, owner } = params;
        const record = records[key];
        if (record) {
            return record.attempt === attempt ? { kind: "begun" } : { kind: "exists", record };
        }
        if (bytes > MAXIMUM_SHARD_BYTES) {
            return { kind: "full" };
        }
        records[key] = { attempt, fingerprint, owner, at: this.#now(), state: "started" };
        return { kind: "begun" };
    }

    #now(): number {
        return (this.options.now ?? Date.now)();
    }

    #withoutExpired(records: Records): Records {
        const oldestKept = this.#now() - RETENTION_MILLISECONDS;
        return Object.fromEntries(Object.entries(records).filter(([, { at }]) => at >= oldestKept));
    }
}

function answerUnavailable(pending: PendingCall): void {
    if (pending.kind === "begin") {
        pending.answer({ kind: "unavailable" });
    }
    else {
        pending.answer(false);
    }
}

function applyFinish(records: Records, params: FinishParameters): boolean {
    const { key, attempt, state, answer } = params;
    const record = records[key];
    if (state === "withdrawn") {
        if (record?.attempt === attempt && record.state === "started") {
            delete records[key];
        }
        // A write is made even without a change: it supersedes a write of the intent that may still be in transit.
        return true;
    }
    if (record?.attempt !== attempt || record.state === "finished") {
        return false;
    }
    const storesResponse = answer !== undefined && answer.body.length <= MAXIMUM_RESPONSE_CHARACTERS;
    records[key] = { ...record, state, ...(storesResponse ? { answer } : {}) };
    return true;
}

/** Returns the length of a record in the JSON text. Records are replaced and never changed, so it is cached. */
function sizeOf(record: OnceRecord): number {
    let size = cachedSizes.get(record);
    if (size === undefined) {
        size = JSON.stringify(record).length + KEY_CHARACTERS;
        cachedSizes.set(record, size);
    }
    return size;
}
