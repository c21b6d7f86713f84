import { sleep } from "../clocks/mod.ts";
import { StandInServer } from "./stand_in_server.ts";

const WRITES_PER_SECOND = 400;
const READS_PER_SECOND = 2_000;
const MAXIMUM_VALUE_BYTES = 1_000_000;

interface Entry {
    revision: number;
    value: unknown;
    previous: { revision: number; value: unknown; replacedAt: number; } | undefined;
}

/** State of the store at a moment. */
type StoreCopy = ReadonlyMap<string, Entry>;

type Request = Parameters<StoreStandIn["answer"]>[0];

/**
 * Stand-in for the platform's key-value store, with the interface of docs/STORE.md.
 *
 * Faults: `outage` (closes every connection), `delayMilliseconds`, `loseAnswers` (probability that the response to a
 * write is dropped after the write took effect), `readLagMilliseconds` (time for which reads return the previous value
 * after a write). Every JSON response carries the store's era, which rises when the store comes back from a copy.
 *
 * @example
 * ```ts
 * const store = new StoreStandIn("127.0.0.1:7000");
 * await store.listen();
 * ```
 */
export class StoreStandIn extends StandInServer {
    readonly #entries = new Map<string, Entry>();
    readonly #watchers = new Map<string, Set<() => void>>();
    readonly #counts = { reads: 0, writes: 0, watches: 0, conflicts: 0, lostAnswers: 0, outageCalls: 0, limited: 0 };
    #era = 1;
    #second = 0;
    #readsThisSecond = 0;
    #writesThisSecond = 0;
    #mostWritesInASecond = 0;

    /**
     * Copies the state of the store.
     *
     * @returns The copy.
     */
    copy(): StoreCopy {
        return new Map(this.#entries);
    }

    /**
     * Returns to a copy and begins a new era, in which revisions given out since the copy are given out again.
     *
     * @param copy The copy.
     */
    restore(copy: StoreCopy): void {
        this.#entries.clear();
        copy.forEach((entry, key) => this.#entries.set(key, entry));
        this.#era++;
        this.#watchers.forEach(watchers => watchers.forEach(endWait => endWait()));
    }

    /** @inheritdoc */
    async answer(request: Parameters<StandInServer["answer"]>[0]): Promise<void> {
        const { response } = request;
        if (this.faults["outage"] === true) {
            this.#counts.outageCalls++;
            response.destroy();
            return;
        }
        await sleep(Number(this.faults["delayMilliseconds"] ?? 0));
        if (!this.#isWithinRateLimit(request.method === "PUT")) {
            this.#counts.limited++;
            this.reply(response, 429, { error: "too many calls" });
            return;
        }
        const key = decodeURIComponent(request.path.replace("/v1/values/", ""));
        if (request.method === "PUT") {
            this.#write(key, request);
        }
        else if (request.query.has("after")) {
            await this.#watch(key, request);
        }
        else {
            this.#counts.reads++;
            this.reply(response, 200, this.#read(key));
        }
    }

    /** @inheritdoc */
    protected describe(): object {
        return { counts: this.#counts, mostWritesInASecond: this.#mostWritesInASecond };
    }

    /** @inheritdoc */
    protected override onFaultsChanged(): void {
        if (this.faults["outage"] === true) {
            // Closes pending watches too.
            setImmediate(() => this.dropConnections());
        }
    }

    /** @inheritdoc */
    protected override reply(response: Request["response"], status: number, body: object): void {
        super.reply(response, status, { era: this.#era, ...body });
    }

    #isWithinRateLimit(write: boolean): boolean {
        const second = Math.floor(performance.now() / 1_000);
        if (second !== this.#second) {
            this.#second = second;
            this.#readsThisSecond = 0;
            this.#writesThisSecond = 0;
        }
        if (write) {
            this.#mostWritesInASecond = Math.max(this.#mostWritesInASecond, ++this.#writesThisSecond);
            return this.#writesThisSecond <= WRITES_PER_SECOND;
        }
        return ++this.#readsThisSecond <= READS_PER_SECOND;
    }

    #read(key: string): { revision: number; value?: unknown; } {
        const entry = this.#entries.get(key);
        if (!entry) {
            return { revision: 0 };
        }
        const lag = Number(this.faults["readLagMilliseconds"] ?? 0);
        const { previous } = entry;
        if (previous && performance.now() - previous.replacedAt < lag) {
            return { revision: previous.revision, value: previous.value };
        }
        return { revision: entry.revision, value: entry.value };
    }

    /** Whether a request names an era that is not the present one. */
    #isOfAnotherEra(query: URLSearchParams): boolean {
        return Number(query.get("era") ?? this.#era) !== this.#era;
    }

    #write(key: string, { body, query, response }: Request): void {
        this.#counts.writes++;
        const entry = this.#entries.get(key);
        const revision = entry?.revision ?? 0;
        if (body.length > MAXIMUM_VALUE_BYTES) {
            this.reply(response, 413, { error: "value too large" });
            return;
        }
        if (Number(query.get("revision")) !== revision || this.#isOfAnotherEra(query)) {
            this.#counts.conflicts++;
            this.reply(response, 409, { revision, value: entry?.value });
            return;
        }
        const previous = entry
            ? { revision, value: entry.value, replacedAt: performance.now() }
            : undefined;
        this.#entries.set(key, { revision: revision + 1, value: JSON.parse(body), previous });
        this.#watchers.get(key)?.forEach(endWait => endWait());
        if (Math.random() < Number(this.faults["loseAnswers"] ?? 0)) {
            this.#counts.lostAnswers++;
            response.destroy();
            return;
        }
        this.reply(response, 200, { revision: revision + 1 });
    }

    async #watch(key: string, { query, response }: Request): Promise<void> {
        this.#counts.watches++;
        const after = Number(query.get("after"));
        if (this.#read(key).revision <= after && !this.#isOfAnotherEra(query)) {
            const stop = new AbortController();
            const endWait = () => stop.abort();
            const watchers = this.#watchers.get(key) ?? new Set();
            this.#watchers.set(key, watchers.add(endWait));
            response.on("close", endWait);
            await sleep(Number(query.get("wait")), stop.signal);
            watchers.delete(endWait);
        }
        if (!response.destroyed) {
            this.reply(response, 200, this.#read(key));
        }
    }
}
