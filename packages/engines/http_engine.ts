import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, Pool } from "undici";
import * as z from "zod";
import type { DecodeEvent } from "./decode_event.ts";
import type { DecodeRequest } from "./decode_request.ts";
import type { Engine } from "./engine.ts";
import { EngineFailure } from "./engine_failure.ts";
import type { EngineOrder } from "./engine_order.ts";
import type { EngineReport } from "./engine_report.ts";
import type { PrefillRequest } from "./prefill_request.ts";
import type { PrefillResult } from "./prefill_result.ts";

const CONTROL_TIMEOUT_MILLISECONDS = 2_000;
const PREFILL_TIMEOUT_MILLISECONDS = 30_000;
/** Longest time without data on a response body; it also ends a stalled KV cache transfer. */
const STREAM_IDLE_TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_EVENT_BYTES = 65_536;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;

const prefillSchema = z.object({
    handle: z.string(),
    expiresInMilliseconds: z.number(),
    cachedTokens: z.number(),
    promptTokens: z.number(),
});

const reportSchema = z.object({
    bootId: z.string(),
    running: z.array(z.object({ id: z.string(), pieces: z.number() })),
});

const cancelSchema = z.object({ generated: z.int().min(0) });

const eventSchema = z.object({
    request: z.string(),
    offset: z.int().min(0),
    text: z.string().optional(),
    finish: z.enum(["stop", "length"]).optional(),
});

/**
 * Client of an engine with the HTTP interface that docs/ENGINE.md specifies.
 *
 * @example
 * ```ts
 * const engine = new HttpEngine("127.0.0.1:9000");
 * const report = await engine.report();
 * await engine.close();
 * ```
 */
export class HttpEngine implements Engine {
    readonly #pool: Pool;

    /**
     * @param address IP address and port of the engine.
     */
    constructor(readonly address: string) {
        this.#pool = new Pool(`http://${address}`, {
            // Opens a connection for each call: a late second answer would count as that of the next call on its connection.
            pipelining: 0,
            bodyTimeout: STREAM_IDLE_TIMEOUT_MILLISECONDS,
            headersTimeout: PREFILL_TIMEOUT_MILLISECONDS,
        });
    }

    /** @inheritdoc */
    async prefill(request: PrefillRequest, signal: AbortSignal): Promise<Result<PrefillResult, EngineFailure>> {
        const response = await this.#request("POST", "/v1/prefill", request, signal);
        return await response.match(
            async value => await parseBody(value, prefillSchema),
            async failure => err(failure),
        );
    }

    /** @inheritdoc */
    async decode(
        request: DecodeRequest,
        signal: AbortSignal,
    ): Promise<Result<AsyncIterable<DecodeEvent>, EngineFailure>> {
        const response = await this.#request("POST", "/v1/decode", request, signal);
        return response.map(value => readEvents(value.body));
    }

    /** @inheritdoc */
    async cancel(request: string): Promise<Result<{ generated: number; }, EngineFailure>> {
        const path = `/v1/requests/${encodeURIComponent(request)}`;
        const response = await this.#request("DELETE", path, undefined, controlTimeoutSignal());
        return await response.match(
            async value => await parseBody(value, cancelSchema),
            async failure => err(failure),
        );
    }

    /** @inheritdoc */
    async report(): Promise<Result<EngineReport, EngineFailure>> {
        const response = await this.#request("GET", "/v1/requests", undefined, controlTimeoutSignal());
        return await response.match(
            async value => await parseBody(value, reportSchema),
            async failure => err(failure),
        );
    }

    /** @inheritdoc */
    async order(order: EngineOrder): Promise<Result<void, EngineFailure>> {
        const response = await this.#request("POST", "/v1/orders", order, controlTimeoutSignal());
        return await response.match(
            async value => (await parseBody(value, z.unknown())).map(() => undefined),
            async failure => err(failure),
        );
    }

    /** @inheritdoc */
    async close(): Promise<void> {
        // Waits for the requests in progress: they continue when their server is removed from the configuration.
        await this.#pool.close();
    }

    async #request(
        method: "GET" | "POST" | "DELETE",
        path: string,
        body: object | undefined,
        signal: AbortSignal,
    ): Promise<Result<Dispatcher.ResponseData, EngineFailure>> {
        try {
            const response = await this.#pool.request({
                method,
                path,
                headers: body ? { "content-type": "application/json" } : {},
                body: body ? JSON.stringify(body) : undefined,
                signal,
            });
            if (response.statusCode === 200) {
                return ok(response);
            }
            const text = (await response.body.text()).slice(0, 200);
            return err(failureFromStatus(response.statusCode, text));
        }
        catch (error) {
            return err(failureFromError(error, signal));
        }
    }
}

function controlTimeoutSignal(): AbortSignal {
    return AbortSignal.timeout(CONTROL_TIMEOUT_MILLISECONDS);
}

async function parseBody<Schema extends z.ZodType>(
    response: Dispatcher.ResponseData,
    schema: Schema,
): Promise<Result<z.infer<Schema>, EngineFailure>> {
    let text: string;
    try {
        text = await response.body.text();
    }
    catch (error) {
        return err(failureFromError(error));
    }
    try {
        return ok(schema.parse(JSON.parse(text)));
    }
    catch {
        return err(new EngineFailure("refused", "may-have-run", "The engine's answer is malformed"));
    }
}

function failureFromStatus(status: number, text: string): EngineFailure {
    if (status === STATUS_GONE) {
        return new EngineFailure("handle-gone", "not-run", "The KV cache had expired");
    }
    const verdict = status === 429 || status === 503 || status === STATUS_CONFLICT ? "not-run" : "may-have-run";
    return new EngineFailure("refused", verdict, `The engine answered with status ${status}: ${text}`);
}

function failureFromError(error: unknown, signal?: AbortSignal): EngineFailure {
    const code = (error as { code?: string; }).code ?? "";
    const message = `Cannot call the engine: ${String(error)}`;
    if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
        return new EngineFailure("down", "not-run", message);
    }
    if (signal?.aborted) {
        const timedOut = (signal.reason as { name?: string; } | undefined)?.name === "TimeoutError";
        return new EngineFailure(timedOut ? "timeout" : "cancelled", "may-have-run", message);
    }
    const kind = code === "UND_ERR_HEADERS_TIMEOUT" || code === "UND_ERR_BODY_TIMEOUT" ? "timeout" : "down";
    return new EngineFailure(kind, "may-have-run", message);
}

/** Parses an event. A malformed event is reported as "refused", so that the engine does not count as crashed. */
function parseEvent(data: string): DecodeEvent {
    try {
        return eventSchema.parse(JSON.parse(data));
    }
    catch {
        throw new EngineFailure("refused", "may-have-run", "An event of the stream is malformed");
    }
}

async function* readEvents(body: AsyncIterable<Buffer>): AsyncIterable<DecodeEvent> {
    const events: DecodeEvent[] = [];
    const parser = createParser({ onEvent: event => events.push(parseEvent(event.data)) });
    const decoder = new TextDecoder();
    let incompleteBytes = 0;
    try {
        for await (const chunk of body) {
            parser.feed(decoder.decode(chunk, { stream: true }));
            incompleteBytes = events.length > 0 ? 0 : incompleteBytes + chunk.length;
            if (incompleteBytes > MAXIMUM_EVENT_BYTES) {
                throw new EngineFailure("refused", "may-have-run", "An event of the stream is too long");
            }
            yield* events.splice(0);
        }
    }
    catch (error) {
        throw error instanceof EngineFailure ? error : failureFromError(error);
    }
}
