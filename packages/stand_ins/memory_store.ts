import { err, ok, type Result } from "neverthrow";
import { type CompareAndSwapOutcome, type Store, type StoredValue, StoreFailure } from "../store/mod.ts";

/** What happens to a call. */
type Fate = "answered" | "refused" | "answer-lost" | "answer-lost-write-late";

/**
 * A store in memory for tests within one process. Each call's fate is chosen from outside.
 *
 * @example
 * ```ts
 * const store = new MemoryStore(() => "answered");
 * await store.compareAndSwap("key", 0, { a: 1 });
 * ```
 */
export class MemoryStore implements Store {
    readonly #values = new Map<string, { revision: number; text: string; }>();
    #late: (() => void)[] = [];

    /**
     * @param fateOf Chooses the fate of the next call.
     */
    constructor(private readonly fateOf: (kind: "read" | "write") => Fate) {}

    /** @inheritdoc */
    async read(key: string): Promise<Result<StoredValue, StoreFailure>> {
        await Promise.resolve();
        if (this.fateOf("read") !== "answered") {
            return err(new StoreFailure("not-run", "No answer"));
        }
        return ok(this.#get(key));
    }

    /** @inheritdoc */
    async compareAndSwap(
        key: string,
        expectedRevision: number,
        value: unknown,
    ): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
        await Promise.resolve();
        const text = JSON.stringify(value);
        const fate = this.fateOf("write");
        if (fate === "refused") {
            return err(new StoreFailure("not-run", "Refused"));
        }
        if (fate === "answer-lost-write-late") {
            this.#late.push(() => void this.#swap(key, expectedRevision, text));
            return err(new StoreFailure("may-have-run", "Answer lost"));
        }
        const outcome = this.#swap(key, expectedRevision, text);
        return fate === "answered" ? ok(outcome) : err(new StoreFailure("may-have-run", "Answer lost"));
    }

    /** @inheritdoc */
    async watch(key: string): Promise<Result<StoredValue, StoreFailure>> {
        return await this.read(key);
    }

    /** @inheritdoc */
    async close(): Promise<void> {}

    /** Lets writes whose answer was lost reach the store now. */
    applyLateWrites(): void {
        this.#late.splice(0).forEach(apply => apply());
    }

    #get(key: string): StoredValue {
        const entry = this.#values.get(key);
        return entry ? { revision: entry.revision, value: JSON.parse(entry.text) } : { revision: 0, value: undefined };
    }

    #swap(key: string, expectedRevision: number, text: string): CompareAndSwapOutcome {
        const revision = this.#values.get(key)?.revision ?? 0;
        if (revision !== expectedRevision) {
            return { kind: "conflict", current: this.#get(key) };
        }
        this.#values.set(key, { revision: revision + 1, text });
        return { kind: "stored", revision: revision + 1 };
    }
}
