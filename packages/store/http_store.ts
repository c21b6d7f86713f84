import { err, ok, type Result } from "neverthrow";
import { errors, Pool } from "undici";
import type { StorePosition } from "../replica/mod.ts";
import type { Verdict } from "../verdicts/mod.ts";
import type { CompareAndSwapOutcome } from "./compare_and_swap_outcome.ts";
import type { HttpStoreOptions } from "./http_store_options.ts";
import type { Store } from "./store.ts";
import { StoreFailure } from "./store_failure.ts";
import type { StoredValue } from "./stored_value.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_CONNECTIONS = 4;

type CallKind = "read" | "write" | "watch";

interface StoreResponse {
    status: number;
    body: unknown;
}

/**
 * Client of the platform's key-value service over its HTTP interface, which docs/STORE.md specifies.
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
     * @param address IP address and port of the service.
     * @param options Options.
     */
    constructor(address: string, options: HttpStoreOptions = {}) {
        this.#pool = new Pool(`http://${address}`, { connections: MAXIMUM_CONNECTIONS, pipelining: 1 });
        this.#timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
        this.#onCall = options.onCall ?? (() => {});
    }

    /** @inheritdoc */
    async read(key: string): Promise<Result<StoredValue, StoreFailure>> {
        const response = await this.#call("read", "GET", valuePath(key), this.#timeoutMilliseconds);
        return response.andThen(parseStoredValue);
    }

    /** @inheritdoc */
    async compareAndSwap(
        key: string,
        expected: StorePosition,
        value: unknown,
    ): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
        const path = `${valuePath(key)}?revision=${expected.revision}&era=${expected.era}`;
        const response = await this.#call("write", "PUT", path, this.#timeoutMilliseconds, JSON.stringify(value));
        return response.andThen(parseOutcome);
    }

    /** @inheritdoc */
    async watch(
        key: string,
        after: StorePosition,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Result<StoredValue, StoreFailure>> {
        const path = `${valuePath(key)}?after=${after.revision}&era=${after.era}&wait=${waitMilliseconds}`;
        const timeout = waitMilliseconds + this.#timeoutMilliseconds;
        const response = await this.#call("watch", "GET", path, timeout, undefined, signal);
        return response.andThen(parseStoredValue);
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
    ): Promise<Result<StoreResponse, StoreFailure>> {
        const timeoutSignal = AbortSignal.timeout(timeoutMilliseconds);
        try {
            const response = await this.#pool.request({
                method,
                path,
                body: body ?? undefined,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                signal: signal ? AbortSignal.any([timeoutSignal, signal]) : timeoutSignal,
                // The service may send no headers for a watch until its wait is over.
                headersTimeout: timeoutMilliseconds + 1_000,
            });
            const responseBody: unknown = await response.body.json();
            this.#onCall(kind, "answered");
            return classifyStatus(response.statusCode, responseBody);
        }
        catch (error) {
            this.#onCall(kind, "failed");
            return err(new StoreFailure(verdictFromError(kind, error), `Cannot call the store: ${String(error)}`));
        }
    }
}

function valuePath(key: string): string {
    return `/v1/values/${encodeURIComponent(key)}`;
}

function classifyStatus(status: number, body: unknown): Result<StoreResponse, StoreFailure> {
    if (status === 200 || status === 409) {
        return ok({ status, body });
    }
    // The service returns 429 or 503 only before it does anything.
    const verdict: Verdict = status === 429 || status === 503 ? "not-run" : "may-have-run";
    return err(new StoreFailure(verdict, `The store answered with status ${status}`));
}

function verdictFromError(kind: CallKind, error: unknown): Verdict {
    if (kind !== "write" || error instanceof errors.ConnectTimeoutError) {
        return "not-run";
    }
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "EHOSTUNREACH" ? "not-run" : "may-have-run";
}

function parseStoredValue(response: StoreResponse): Result<StoredValue, StoreFailure> {
    if (response.status !== 200) {
        return err(new StoreFailure("may-have-run", `The store answered a read with status ${response.status}`));
    }
    return parsePosition(response).map(position => ({ ...position, value: valueOf(response) }));
}

function parseOutcome(response: StoreResponse): Result<CompareAndSwapOutcome, StoreFailure> {
    return parsePosition(response).map(position =>
        response.status === 409
            ? { kind: "conflict", current: { ...position, value: valueOf(response) } }
            : { kind: "stored", position }
    );
}

function parsePosition({ body }: StoreResponse): Result<StorePosition, StoreFailure> {
    const { era = 0, revision } = (body ?? {}) as Partial<StoredValue>;
    if (typeof revision !== "number" || typeof era !== "number") {
        return err(new StoreFailure("may-have-run", "The store's answer has no revision, or an era that is no number"));
    }
    return ok({ era, revision });
}

function valueOf({ body }: StoreResponse): unknown {
    return (body as Partial<StoredValue>).value;
}
