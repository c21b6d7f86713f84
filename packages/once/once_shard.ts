import type * as z from "zod";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { type Store, type StoredValue, updateValue } from "../store/mod.ts";
import type { BeginResult } from "./begin_result.ts";
import { onceParameters } from "./once_parameters.ts";
import type { OnceRecord } from "./once_record.ts";
import type { OnceShardOptions } from "./once_shard_options.ts";

const RETENTION_MILLISECONDS = 24 * 3_600_000;
const MAXIMUM_SHARD_BYTES = 900_000;
const MAXIMUM_ANSWER_CHARACTERS = 16_384;
const DEFAULT_COMMIT_DEADLINE_MILLISECONDS = 2_000;
const CACHE_MILLISECONDS = 1_000;
/** Key of a record with its quotes, colon and comma. */
const KEY_CHARACTERS = 36;
const sizes = new WeakMap<OnceRecord, number>();

type BeginParameters = z.infer<typeof onceParameters.begin>;
type FinishParameters = z.infer<typeof onceParameters.finish>;
type Records = Record<string, OnceRecord>;

type Pending =
    | { kind: "begin"; params: BeginParameters; answer: (answer: BeginResult) => void; }
    | { kind: "finish"; params: FinishParameters; answer: (stored: boolean) => void; };

/** What a batch does to the records. */
interface BatchResult {
    records: Records;
    changed: boolean;
    begun: Map<Pending, BeginResult>;
}

/**
 * One shard of the records: a single value of the store, changed only by compare-and-swap.
 *
 * Calls that arrive while a commit is under way are committed together by the next one. A home that was paused while
 * another one wrote cannot commit, since its revision is no longer the latest.
 *
 * @example
 * ```ts
 * const shard = new OnceShard(store, "once/0");
 * await shard.begin({ key, attempt: "a", fingerprint, owner: "instance-1/1f" }); // { kind: "begun" }
 * ```
 */
export class OnceShard {
    #pending: Pending[] = [];
    #committing = false;
    #cached: StoredValue | undefined;
    #cachedAt = 0;
    /** Values that this shard wrote itself. */
    readonly #checked = new WeakSet<object>();

    /**
     * @param store The store.
     * @param storeKey Key of the shard's value.
     * @param options Optional parts.
     */
    constructor(
        private readonly store: Store,
        private readonly storeKey: string,
        private readonly options: OnceShardOptions = {},
    ) {}

    /**
     * Records the intent to send a call, unless there is a record already.
     *
     * @param params The call.
     * @returns `"begun"` only once the intent is in the store.
     */
    begin(params: BeginParameters): Promise<BeginResult> {
        return new Promise(answer => this.#enqueue({ kind: "begin", params, answer }));
    }

    /**
     * Records how a call ended.
     *
     * @param params The outcome.
     * @returns Whether the outcome is in the store.
     */
    finish(params: FinishParameters): Promise<boolean> {
        return new Promise(answer => this.#enqueue({ kind: "finish", params, answer }));
    }

    #enqueue(pending: Pending): void {
        this.#pending.push(pending);
        if (!this.#committing) {
            void this.#commitAll();
        }
    }

    async #commitAll(): Promise<void> {
        this.#committing = true;
        while (this.#pending.length > 0) {
            await this.options.commitRateLimiter?.acquire();
            const batch = this.#pending.splice(0);
            await this.#commit(batch);
        }
        this.#committing = false;
    }

    async #commit(batch: Pending[]): Promise<void> {
        const start = this.#startFor(batch);
        let applied: BatchResult | undefined;
        const result = await updateValue(
            this.store,
            this.storeKey,
            start,
            this.options.commitDeadlineMilliseconds ?? DEFAULT_COMMIT_DEADLINE_MILLISECONDS,
            current => {
                applied = this.#apply(this.#recordsOf(current), batch);
                if (!applied.changed) {
                    return { kind: "done" };
                }
                const value = { records: applied.records };
                this.#checked.add(value);
                return { kind: "write", value };
            },
        );
        this.#cached = result.isOk() ? result.value : undefined;
        if (!start || applied?.changed) {
            // An answer from the cache does not make the cache any fresher.
            this.#cachedAt = monotonicMilliseconds();
        }
        for (const pending of batch) {
            if (pending.kind === "begin") {
                const answer = result.isOk() ? applied?.begun.get(pending) : undefined;
                pending.answer(answer ?? { kind: "unavailable" });
            }
            else {
                pending.answer(result.isOk());
            }
        }
    }

    /** A value that came from outside is checked by schema once. */
    #recordsOf({ revision, value }: StoredValue): Records {
        if (revision === 0) {
            return {};
        }
        if (typeof value === "object" && value && this.#checked.has(value)) {
            return (value as { records: Records; }).records;
        }
        return onceParameters.shard.parse(value).records;
    }

    /** An outcome whose record is not in the cached value was begun at another home: the value is read anew. */
    #startFor(batch: Pending[]): StoredValue | undefined {
        const cached = this.#cached;
        if (!cached || monotonicMilliseconds() - this.#cachedAt > CACHE_MILLISECONDS) {
            return undefined;
        }
        const records = this.#recordsOf(cached);
        const complete = batch.every(({ kind, params }) =>
            kind === "begin" || records[params.key]?.attempt === params.attempt
        );
        return complete ? cached : undefined;
    }

    #apply(before: Records, batch: Pending[]): BatchResult {
        const records = this.#withoutExpired(before);
        const result: BatchResult = { records, changed: false, begun: new Map() };
        let bytes = Object.values(records).reduce((sum, record) => sum + sizeOf(record), 0);
        for (const pending of batch) {
            if (pending.kind === "finish") {
                result.changed = applyFinish(records, pending.params) || result.changed;
                continue;
            }
            const answer = this.#applyBegin(records, pending.params, bytes);
            result.begun.set(pending, answer);
            if (answer.kind === "begun") {
                bytes += MAXIMUM_ANSWER_CHARACTERS;
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
        const oldest = this.#now() - RETENTION_MILLISECONDS;
        return Object.fromEntries(Object.entries(records).filter(([, { at }]) => at >= oldest));
    }
}

function applyFinish(records: Records, params: FinishParameters): boolean {
    const { key, attempt, state, answer } = params;
    const record = records[key];
    if (state === "withdrawn") {
        if (record?.attempt === attempt && record.state === "started") {
            delete records[key];
        }
        // Writing even if nothing changed overtakes an intent whose write may still be under way.
        return true;
    }
    if (record?.attempt !== attempt || record.state === "finished") {
        return false;
    }
    const keep = answer !== undefined && answer.body.length <= MAXIMUM_ANSWER_CHARACTERS;
    records[key] = { ...record, state, ...(keep ? { answer } : {}) };
    return true;
}

/** Length of a record's JSON text; records are replaced and never changed, so that it is computed once. */
function sizeOf(record: OnceRecord): number {
    let size = sizes.get(record);
    if (size === undefined) {
        size = JSON.stringify(record).length + KEY_CHARACTERS;
        sizes.set(record, size);
    }
    return size;
}
