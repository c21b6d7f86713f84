import { createHash } from "node:crypto";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Route } from "../configuration/mod.ts";
import { removeHopByHopHeaders } from "../headers/mod.ts";
import { onceRecordKey, type StoredResponse } from "../once/mod.ts";
import type { OnceRecord } from "../once/mod.ts";
import { RetryBudget, selectServers } from "../routing/mod.ts";
import { callService, type ServiceRequest, type ServiceResponse } from "../services/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { Exchange } from "./_exchange.ts";
import type { ServiceHandlerOptions } from "./service_handler_options.ts";

const MAXIMUM_ATTEMPTS = 3;
const POLL_MILLISECONDS = 250;
const MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 255;
/** Time in which an outcome is normally recorded; the caller's answer does not wait longer. */
const RECORD_MILLISECONDS = 1_000;

/**
 * Answers the routes of plain services.
 *
 * @example
 * ```ts
 * const handler = new PlainHandler(options);
 * const route = handler.find("/v1/orders");
 * ```
 */
export class ServiceHandler {
    readonly #budget = new RetryBudget();
    #next = Math.floor(Math.random() * 1_000);

    /**
     * @param options What the handler works with.
     */
    constructor(private readonly options: ServiceHandlerOptions) {}

    /**
     * Finds the route of a path.
     *
     * @param path Path without query.
     * @returns Name and route, or undefined.
     */
    findRoute(path: string): { name: string; route: Route; } | undefined {
        const routes = Object.entries(this.options.configuration.document.routes);
        const found = routes.find(([, route]) => path === route.path || path.startsWith(`${route.path}/`));
        return found ? { name: found[0], route: found[1] } : undefined;
    }

    /**
     * Answers one call.
     *
     * @param exchange The call and its response.
     * @param name Name of the route.
     * @param route The route.
     * @returns The refusal that was given, if any.
     */
    async handle(exchange: Exchange, name: string, route: Route): Promise<Refusal | undefined> {
        this.#budget.recordRequest();
        const answer = route.kind === "once-only"
            ? await this.#callOnce(exchange, name, route)
            : await this.#callRepeatedly(exchange, route);
        if (answer instanceof Refusal) {
            return answer;
        }
        exchange.response.writeHead(answer.status, {
            ...answer.headers,
            "content-length": String(answer.body.length),
        });
        exchange.response.end(answer.body);
        return undefined;
    }

    async #callRepeatedly(exchange: Exchange, route: Route): Promise<ServiceResponse | Refusal> {
        let verdict: Refusal["verdict"] = "not-run";
        let message = "No backend server may take the call";
        for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            const address = this.#choose(route);
            if (exchange.signal.aborted || address === undefined) {
                break;
            }
            const request = toServiceRequest(exchange);
            const answer = await callService(address, request, route.timeoutMilliseconds);
            if (answer.isOk()) {
                return answer.value;
            }
            message = answer.error.message;
            verdict = answer.error.verdict === "may-have-run" ? "may-have-run" : verdict;
            this.options.metrics.increment("retries_total", { reason: `service-${answer.error.verdict}` });
            if (!this.#budget.trySpend()) {
                break;
            }
        }
        return refusalOfSignal(exchange.signal, verdict) ?? new Refusal(502, "backend-failed", verdict, message);
    }

    async #callOnce(exchange: Exchange, name: string, route: Route): Promise<ServiceResponse | Refusal> {
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
        const fingerprint = fingerprintOf(exchange);
        const deadline = monotonicMilliseconds() + route.timeoutMilliseconds;
        while (true) {
            const owner = this.options.membership.selfId;
            const begun = await this.options.once.begin({ key, attempt, fingerprint, owner });
            if (begun.kind === "begun") {
                return await this.#dispatchOnce(exchange, route, key, attempt);
            }
            if (begun.kind === "unavailable") {
                // The intent may still reach the store, but this attempt will never send the call.
                void this.options.once.finish({ key, attempt, state: "withdrawn" });
                const message = "The record of once-only calls is not available";
                return new Refusal(503, "once-only-records-unavailable", "not-run", message, { retryAfterSeconds: 2 });
            }
            if (begun.kind === "full") {
                return new Refusal(503, "once-only-records-full", "not-run", "There is no room for another record", {
                    retryAfterSeconds: 60,
                });
            }
            const answer = this.#answerFromRecord(begun.record, fingerprint, monotonicMilliseconds() > deadline);
            if (answer) {
                return answer;
            }
            await sleep(POLL_MILLISECONDS, exchange.signal);
            if (exchange.signal.aborted) {
                return refusalOfSignal(exchange.signal, "may-have-run") ?? outcomeUnknown();
            }
        }
    }

    /** Answers a call that was sent before; undefined while the first one is still under way. */
    #answerFromRecord(record: OnceRecord, fingerprint: string, late: boolean): ServiceResponse | Refusal | undefined {
        if (record.fingerprint !== fingerprint) {
            const message = "The Idempotency-Key was used for another call";
            return new Refusal(422, "idempotency-key-reused", "not-run", message);
        }
        if (record.state === "finished") {
            return record.answer ? fromKept(record.answer) : new Refusal(
                409,
                "once-only-answer-not-kept",
                "may-have-run",
                "The call ran; its answer was too long to be kept",
            );
        }
        if (record.state === "unknown" || this.options.membership.isGone(record.owner)) {
            return outcomeUnknown();
        }
        if (late) {
            const message = "The call with this Idempotency-Key is still under way";
            return new Refusal(409, "once-only-in-progress", "may-have-run", message, { retryAfterSeconds: 5 });
        }
        return undefined;
    }

    async #dispatchOnce(
        exchange: Exchange,
        route: Route,
        key: string,
        attempt: string,
    ): Promise<ServiceResponse | Refusal> {
        const { once, invariants } = this.options;
        let message = "No backend server may take the call";
        for (let tries = 0; tries < MAXIMUM_ATTEMPTS; tries++) {
            const address = this.#choose(route);
            if (address === undefined || exchange.signal.aborted) {
                break;
            }
            invariants.check("once-only-dispatch-follows-intent", attempt === exchange.id);
            const answer = await callService(
                address,
                toServiceRequest(exchange),
                route.timeoutMilliseconds,
                () => !exchange.signal.aborted,
            );
            if (answer.isOk()) {
                const { status, headers, body } = answer.value;
                const kept: StoredResponse = { status, headers, body: body.toString("base64") };
                const recorded = once.finish({ key, attempt, state: "finished", answer: kept });
                await Promise.race([recorded, sleep(RECORD_MILLISECONDS)]);
                return answer.value;
            }
            message = answer.error.message;
            if (answer.error.verdict === "may-have-run") {
                const recorded = once.finish({ key, attempt, state: "unknown" });
                await Promise.race([recorded, sleep(RECORD_MILLISECONDS)]);
                return new Refusal(502, "once-only-outcome-unknown", "may-have-run", message);
            }
            this.options.metrics.increment("retries_total", { reason: "service-not-run" });
        }
        void once.finish({ key, attempt, state: "withdrawn" });
        return refusalOfSignal(exchange.signal, "not-run") ?? new Refusal(503, "backend-failed", "not-run", message, {
            retryAfterSeconds: 1,
        });
    }

    #choose(route: Route): string | undefined {
        const { document } = this.options.configuration;
        const servers = selectServers(document, { role: "service", labels: route.servers });
        return servers[this.#next++ % Math.max(1, servers.length)]?.[1].address;
    }
}

function outcomeUnknown(): Refusal {
    const message = "The call with this Idempotency-Key may have run; its outcome is not known";
    return new Refusal(409, "once-only-outcome-unknown", "may-have-run", message);
}

function refusalOfSignal(signal: AbortSignal, verdict: Refusal["verdict"]): Refusal | undefined {
    if (!signal.aborted) {
        return undefined;
    }
    const reason: unknown = signal.reason;
    return reason instanceof Refusal
        ? new Refusal(reason.status, reason.reason, verdict, reason.message)
        : new Refusal(499, "caller-gone", verdict, "The caller is gone");
}

function fromKept(kept: StoredResponse): ServiceResponse {
    return { status: kept.status, headers: kept.headers, body: Buffer.from(kept.body, "base64") };
}

function fingerprintOf(exchange: Exchange): string {
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
