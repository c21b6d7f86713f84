import { err, ok, type Result } from "neverthrow";
import { errors, Pool } from "undici";
import type { Verdict } from "../verdicts/mod.ts";
import type { CompareAndSwapOutcome } from "./compare_and_swap_outcome.ts";
import type { HttpStoreOptions } from "./http_store_options.ts";
import type { Store } from "./store.ts";
import { StoreFailure } from "./store_failure.ts";
import type { StoredValue } from "./stored_value.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 2_000;
const CONNECTIONS = 4;

type CallKind = "read" | "write" | "watch";

interface Answer {
    status: number;
    body: unknown;
}

/**
 * The platform's service over its HTTP interface, as docs/STORE.md describes it.
 *
 * @example
 * ```ts
 * const store = new HttpStore("127.0.0.1:7000");
 * const result = await store.read("epoch");
 * await store.close();
 * ```
 */
export class HttpStore implements Store {
    readonly #pool: Pool;
    readonly #timeoutMilliseconds: number;
    readonly #onCall: NonNullable<HttpStoreOptions["onCall"]>;

    /**
     * @param address IP number and port of the service.
     * @param options Optional parts.
     */
    constructor(address: string, options: HttpStoreOptions = {}) {
        this.#pool = new Pool(`http://${address}`, { connections: CONNECTIONS, pipelining: 1 });
        this.#timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
        this.#onCall = options.onCall ?? (() => {});
    }

    /** @inheritdoc */
    async read(key: string): Promise<Result<StoredValue, StoreFailure>> {
        const answer = await this.#call("read", "GET", pathOf(key), this.#timeoutMilliseconds);
        return answer.andThen(parseStoredValue);
    }

    /** @inheritdoc */
    async compareAndSwap(
        key: string,
        expectedRevision: number,
        value: unknown,
    ): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
        const path = `${pathOf(key)}?revision=${expectedRevision}`;
        const answer = await this.#call("write", "PUT", path, this.#timeoutMilliseconds, JSON.stringify(value));
        return answer.andThen(parseOutcome);
    }

    /** @inheritdoc */
    async watch(
        key: string,
        afterRevision: number,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Result<StoredValue, StoreFailure>> {
        const path = `${pathOf(key)}?after=${afterRevision}&wait=${waitMilliseconds}`;
        const timeout = waitMilliseconds + this.#timeoutMilliseconds;
        const answer = await this.#call("watch", "GET", path, timeout, undefined, signal);
        return answer.andThen(parseStoredValue);
    }

    /** @inheritdoc */
    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    async #call(
        kind: CallKind,
        method: "GET" | "PUT",
        path: string,
        timeoutMilliseconds: number,
        body?: string,
        signal?: AbortSignal,
    ): Promise<Result<Answer, StoreFailure>> {
        const deadline = AbortSignal.timeout(timeoutMilliseconds);
        try {
            const response = await this.#pool.request({
                method,
                path,
                body: body ?? undefined,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                signal: signal ? AbortSignal.any([deadline, signal]) : deadline,
                // A watch may stay silent for its whole wait.
                headersTimeout: timeoutMilliseconds + 1_000,
            });
            const parsed: unknown = await response.body.json();
            this.#onCall(kind, "answered");
            return classifyStatus(response.statusCode, parsed);
        }
        catch (error) {
            this.#onCall(kind, "failed");
            return err(new StoreFailure(verdictOf(kind, error), `Cannot call the store: ${String(error)}`));
        }
    }
}

function pathOf(key: string): string {
    return `/v1/values/${encodeURIComponent(key)}`;
}

function classifyStatus(status: number, body: unknown): Result<Answer, StoreFailure> {
    if (status === 200 || status === 409) {
        return ok({ status, body });
    }
    // The service refuses with 429 or 503 before it does anything.
    const verdict: Verdict = status === 429 || status === 503 ? "not-run" : "may-have-run";
    return err(new StoreFailure(verdict, `The store answered with status ${status}`));
}

function verdictOf(kind: CallKind, error: unknown): Verdict {
    if (kind !== "write" || error instanceof errors.ConnectTimeoutError) {
        return "not-run";
    }
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "EHOSTUNREACH" ? "not-run" : "may-have-run";
}

function parseStoredValue(answer: Answer): Result<StoredValue, StoreFailure> {
    const body = answer.body as Partial<StoredValue>;
    if (answer.status !== 200 || typeof body?.revision !== "number") {
        return err(new StoreFailure("may-have-run", "The store's answer has no revision"));
    }
    return ok({ revision: body.revision, value: body.value });
}

function parseOutcome(answer: Answer): Result<CompareAndSwapOutcome, StoreFailure> {
    const body = answer.body as Partial<StoredValue>;
    if (typeof body?.revision !== "number") {
        return err(new StoreFailure("may-have-run", "The store's answer has no revision"));
    }
    if (answer.status === 409) {
        return ok({ kind: "conflict", current: { revision: body.revision, value: body.value } });
    }
    return ok({ kind: "stored", revision: body.revision });
}
