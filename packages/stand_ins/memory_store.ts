import { err, ok, type Result } from "neverthrow";
import type { StorePosition } from "../replica/mod.ts";
import { type CompareAndSwapOutcome, type Store, type StoredValue, StoreFailure } from "../store/mod.ts";

/** Outcome of a call. */
type CallOutcome = "answered" | "refused" | "answer-lost" | "answer-lost-write-late";

/**
 * An in-memory store for tests within one process. The test chooses the outcome of each call.
 *
 * @example
 * ```ts
 * const store = new MemoryStore(() => "answered");
 * await store.compareAndSwap("key", 0, { a: 1 });
 * ```
 */
export class MemoryStore implements Store {
    readonly #values = new Map<string, { revision: number; text: string; }>();
    #delayedWrites: (() => void)[] = [];

    /**
     * @param chooseOutcome Chooses the outcome of the next call.
     */
    constructor(private readonly chooseOutcome: (kind: "read" | "write") => CallOutcome) {}

    /** @inheritdoc */
    async read(key: string): Promise<Result<StoredValue, StoreFailure>> {
        await Promise.resolve();
        if (this.chooseOutcome("read") !== "answered") {
            return err(new StoreFailure("not-run", "No response"));
        }
        return ok(this.#get(key));
    }

    /** @inheritdoc */
    async compareAndSwap(
        key: string,
        { revision: expectedRevision }: StorePosition,
        value: unknown,
    ): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
        await Promise.resolve();
        const text = JSON.stringify(value);
        const callOutcome = this.chooseOutcome("write");
        if (callOutcome === "refused") {
            return err(new StoreFailure("not-run", "Refused"));
        }
        if (callOutcome === "answer-lost-write-late") {
            this.#delayedWrites.push(() => void this.#swap(key, expectedRevision, text));
            return err(new StoreFailure("may-have-run", "Response lost"));
        }
        const outcome = this.#swap(key, expectedRevision, text);
        return callOutcome === "answered" ? ok(outcome) : err(new StoreFailure("may-have-run", "Response lost"));
    }

    /** @inheritdoc */
    async watch(key: string): Promise<Result<StoredValue, StoreFailure>> {
        return await this.read(key);
    }

    /** @inheritdoc */
    async close(): Promise<void> {}

    /** Applies the writes whose outcome was `answer-lost-write-late`. */
    applyLateWrites(): void {
        this.#delayedWrites.splice(0).forEach(apply => apply());
    }

    #get(key: string): StoredValue {
        const entry = this.#values.get(key);
        return entry
            ? { era: 0, revision: entry.revision, value: JSON.parse(entry.text) }
            : { era: 0, revision: 0, value: undefined };
    }

    #swap(key: string, expectedRevision: number, text: string): CompareAndSwapOutcome {
        const revision = this.#values.get(key)?.revision ?? 0;
        if (revision !== expectedRevision) {
            return { kind: "conflict", current: this.#get(key) };
        }
        this.#values.set(key, { revision: revision + 1, text });
        return { kind: "stored", position: { era: 0, revision: revision + 1 } };
    }
}
