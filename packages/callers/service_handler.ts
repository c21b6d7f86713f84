import { createHash } from "node:crypto";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Route } from "../configuration/mod.ts";
import { removeHopByHopHeaders } from "../headers/mod.ts";
import { onceRecordKey, type StoredResponse } from "../once/mod.ts";
import type { OnceRecord } from "../once/mod.ts";
import { RetryBudget, selectServers } from "../routing/mod.ts";
import { callService, type ServiceRequest, type ServiceResponse } from "../services/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { callerGone } from "./_caller_gone.ts";
import type { Exchange } from "./_exchange.ts";
import { expectAnswer } from "./_expect_answer.ts";
import { memoryFull } from "./_memory_full.ts";
import { writeBody } from "./_write_body.ts";
import type { ServiceHandlerOptions } from "./service_handler_options.ts";

const MAXIMUM_ATTEMPTS = 3;
const RECORD_POLL_MILLISECONDS = 250;
const MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 255;
/** An outcome is normally recorded within this time; the response to the caller does not wait longer. */
const RECORD_WAIT_MILLISECONDS = 1_000;

/**
 * Serves the routes of plain services.
 *
 * @example
 * ```ts
 * const handler = new ServiceHandler(options);
 * const route = handler.findRoute("/v1/orders");
 * ```
 */
export class ServiceHandler {
    readonly #retryBudget = new RetryBudget();
    #nextServer = Math.floor(Math.random() * 1_000);

    /**
     * @param options Dependencies of the handler.
     */
    constructor(private readonly options: ServiceHandlerOptions) {}

    /**
     * Finds the route that serves a path.
     *
     * @param path Path without query.
     * @returns Name and route, or undefined if no route serves the path.
     */
    findRoute(path: string): { name: string; route: Route; } | undefined {
        const routes = Object.entries(this.options.configuration.document.routes);
        const match = routes.find(([, route]) => path === route.path || path.startsWith(`${route.path}/`));
        return match ? { name: match[0], route: match[1] } : undefined;
    }

    /**
     * Serves one call.
     *
     * @param exchange The call and its response.
     * @param name Name of the route.
     * @param route The route.
     * @returns The refusal to send, if any.
     */
    async handle(exchange: Exchange, name: string, route: Route): Promise<Refusal | undefined> {
        if (!await expectAnswer(exchange, route.timeoutMilliseconds)) {
            return refusalFromSignal(exchange.signal, "not-run") ?? memoryFull();
        }
        this.#retryBudget.recordRequest();
        const response = route.kind === "once-only"
            ? await this.#callAtMostOnce(exchange, name, route)
            : await this.#callWithRetries(exchange, route);
        exchange.memory.serviceAnswers.endSends();
        if (response instanceof Refusal) {
            return response;
        }
        exchange.response.writeHead(response.status, {
            ...response.headers,
            "content-length": String(response.body.length),
        });
        await writeBody(exchange.response, response.body);
        return undefined;
    }

    async #callWithRetries(exchange: Exchange, route: Route): Promise<ServiceResponse | Refusal> {
        let verdict: Refusal["verdict"] = "not-run";
        let message = "No backend server may take the call";
        let doubtful: ServiceResponse | undefined;
        for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            const address = this.#chooseAddress(route);
            if (exchange.signal.aborted || address === undefined) {
                break;
            }
            const request = toServiceRequest(exchange);
            const response = await callService(
                address,
                request,
                route.timeoutMilliseconds,
                () => !exchange.signal.aborted,
                exchange.memory.serviceAnswers,
            );
            if (response.isOk() && !response.value.isDoubtful) {
                return response.value;
            }
            if (response.isOk()) {
                doubtful = response.value;
                this.options.metrics.increment("retries_total", { reason: "service-doubtful" });
            }
            else {
                message = response.error.message;
                verdict = response.error.verdict === "may-have-run" ? "may-have-run" : verdict;
                this.options.metrics.increment("retries_total", { reason: `service-${response.error.verdict}` });
            }
            if (exchange.signal.aborted || !this.#retryBudget.trySpend()) {
                break;
            }
        }
        return refusalFromSignal(exchange.signal, doubtful ? "may-have-run" : verdict) ?? doubtful
            ?? new Refusal(502, "backend-failed", verdict, message);
    }

    async #callAtMostOnce(exchange: Exchange, name: string, route: Route): Promise<ServiceResponse | Refusal> {
        const idempotencyKey = exchange.request.headers["idempotency-key"];
        if (typeof idempotencyKey !== "string" || idempotencyKey === "") {
            const message = "Send an Idempotency-Key header; the call runs at most once for each key";
            return new Refusal(400, "idempotency-key-missing", "not-run", message);
        }
        if (idempotencyKey.length > MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS) {
            return new Refusal(400, "malformed-request", "not-run", "The Idempotency-Key is too long");
        }
        const key = onceRecordKey(exchange.caller.organisation, name, idempotencyKey);
        const attempt = exchange.id;
        const fingerprint = fingerprintExchange(exchange);
        const deadline = monotonicMilliseconds() + route.timeoutMilliseconds;
        while (true) {
            const owner = this.options.membership.selfId;
            const result = await this.options.once.begin({ key, attempt, fingerprint, owner });
            if (result.kind === "begun") {
                return await this.#dispatchAtMostOnce(exchange, route, key, attempt);
            }
            if (result.kind === "unavailable") {
                // The intent record may still reach the store; withdrawing it states that the call is never sent.
                void this.options.once.finish({ key, attempt, state: "withdrawn" });
                const message = "The record of once-only calls is not available";
                return new Refusal(503, "once-only-records-unavailable", "not-run", message, { retryAfterSeconds: 2 });
            }
            if (result.kind === "full") {
                return new Refusal(503, "once-only-records-full", "not-run", "There is no room for another record", {
                    retryAfterSeconds: 60,
                });
            }
            const response = this.#responseFromRecord(result.record, fingerprint, monotonicMilliseconds() > deadline);
            if (response) {
                return response;
            }
            await sleep(RECORD_POLL_MILLISECONDS, exchange.signal);
            if (exchange.signal.aborted) {
                return refusalFromSignal(exchange.signal, "may-have-run") ?? outcomeUnknown();
            }
        }
    }

    /** Returns the response recorded for an idempotency key; undefined while the first call is in progress. */
    #responseFromRecord(
        record: OnceRecord,
        fingerprint: string,
        deadlinePassed: boolean,
    ): ServiceResponse | Refusal | undefined {
        if (record.fingerprint !== fingerprint) {
            const message = "The Idempotency-Key was used for another call";
            return new Refusal(422, "idempotency-key-reused", "not-run", message);
        }
        if (record.state === "finished") {
            return record.answer ? toServiceResponse(record.answer) : new Refusal(
                409,
                "once-only-answer-not-kept",
                "may-have-run",
                "The call ran; its answer was too long to be kept",
            );
        }
        if (record.state === "unknown" || this.options.membership.hasLeftOrTerminated(record.owner)) {
            return outcomeUnknown();
        }
        if (deadlinePassed) {
            const message = "The call with this Idempotency-Key is still under way";
            return new Refusal(409, "once-only-in-progress", "may-have-run", message, { retryAfterSeconds: 5 });
        }
        return undefined;
    }

    async #dispatchAtMostOnce(
        exchange: Exchange,
        route: Route,
        key: string,
        attempt: string,
    ): Promise<ServiceResponse | Refusal> {
        const { once, invariants } = this.options;
        let message = "No backend server may take the call";
        for (let attemptIndex = 0; attemptIndex < MAXIMUM_ATTEMPTS; attemptIndex++) {
            const address = this.#chooseAddress(route);
            if (address === undefined || exchange.signal.aborted) {
                break;
            }
            invariants.check("once-only-dispatch-follows-intent", attempt === exchange.id);
            const response = await callService(
                address,
                toServiceRequest(exchange),
                route.timeoutMilliseconds,
                () => !exchange.signal.aborted,
                exchange.memory.serviceAnswers,
            );
            if (response.isOk()) {
                const { status, headers, body } = response.value;
                const stored: StoredResponse = { status, headers, body: body.toString("base64") };
                const recording = once.finish({ key, attempt, state: "finished", answer: stored });
                await Promise.race([recording, sleep(RECORD_WAIT_MILLISECONDS)]);
                return response.value;
            }
            message = response.error.message;
            if (response.error.verdict === "may-have-run") {
                const recording = once.finish({ key, attempt, state: "unknown" });
                await Promise.race([recording, sleep(RECORD_WAIT_MILLISECONDS)]);
                return new Refusal(502, "once-only-outcome-unknown", "may-have-run", message);
            }
            this.options.metrics.increment("retries_total", { reason: "service-not-run" });
        }
        void once.finish({ key, attempt, state: "withdrawn" });
        return refusalFromSignal(exchange.signal, "not-run") ?? new Refusal(503, "backend-failed", "not-run", message, {
            retryAfterSeconds: 1,
        });
    }

    #chooseAddress(route: Route): string | undefined {
        const { document } = this.options.configuration;
        const servers = selectServers(document, { role: "service", labels: route.servers });
        return servers[this.#nextServer++ % Math.max(1, servers.length)]?.[1].address;
    }
}

function outcomeUnknown(): Refusal {
    const message = "The call with this Idempotency-Key may have run; its outcome is not known";
    return new Refusal(409, "once-only-outcome-unknown", "may-have-run", message);
}

function refusalFromSignal(signal: AbortSignal, verdict: Refusal["verdict"]): Refusal | undefined {
    if (!signal.aborted) {
        return undefined;
    }
    const reason: unknown = signal.reason;
    return reason instanceof Refusal
        ? new Refusal(reason.status, reason.reason, verdict, reason.message)
        : callerGone(verdict);
}

function toServiceResponse(stored: StoredResponse): ServiceResponse {
    return {
        status: stored.status,
        headers: stored.headers,
        body: Buffer.from(stored.body, "base64"),
        isDoubtful: false,
    };
}

function fingerprintExchange(exchange: Exchange): string {
    return createHash("sha256")
        .update(JSON.stringify([exchange.request.method, exchange.path]))
        .update(exchange.body)
        .digest("hex");
}

function toServiceRequest(exchange: Exchange): ServiceRequest {
    const headers = removeHopByHopHeaders(exchange.request.headers);
    delete headers["authorization"];
    delete headers["x-api-key"];
    delete headers["cookie"];
    const { key, organisation } = exchange.caller;
    for (const [name, value] of Object.entries(headers)) {
        if (key !== "" && String(value).includes(key)) {
            delete headers[name];
        }
    }
    headers["x-request-id"] = exchange.id;
    if (organisation !== "") {
        headers["x-organisation"] = organisation;
    }
    return { method: exchange.request.method ?? "GET", path: exchange.path, headers, body: exchange.body };
}
