import { err, ok, type Result } from "neverthrow";
import type { BackendResponse } from "../backends/mod.ts";
import { readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import type { Verdict } from "../verdicts/mod.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { DecodeQueue } from "./decode_queue.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { EngineClient } from "./engine_client.ts";
import { engineIdleTimeout } from "./engine_idle_timeout.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";
import type { PrefillDispatcher } from "./prefill_dispatcher.ts";
import type { PrefillFailure } from "./prefill_failure.ts";
import type { PrefillResult } from "./prefill_result.ts";
import { relayEvents } from "./relay_events.ts";
import { sendRefusal } from "./send_refusal.ts";

/** Passes through prefill and decode of one request at most. */
const MAXIMUM_PASSES = 4;
const AVOID_MILLISECONDS = 800;
/** Time in milliseconds that an engine is avoided which takes no requests, as it changes its stage or leaves. */
const REFUSING_MILLISECONDS = 1_500;
/** Time in milliseconds that the body of a failure may take. */
const BODY_MILLISECONDS = 2_500;
const MAXIMUM_ANSWER_BYTES = 1_024 * 1_024;
const NONE: ReadonlySet<string> = new Set();

/**
 * Forwards model requests: reserves memory at a decode engine, has the prompt computed by a prefill engine, and relays
 * the events of the decode engine.
 *
 * @example
 * ```ts
 * await new StreamForwarder(services, queue, caller, prefill).forward(request);
 * ```
 */
export class StreamForwarder {
    /**
     * @param services What the gateway works with.
     * @param queue Reserves memory.
     * @param caller Calls engines.
     * @param prefill Has prompts computed.
     */
    constructor(
        private readonly services: GatewayContext,
        private readonly queue: DecodeQueue,
        private readonly caller: EngineClient,
        private readonly prefill: PrefillDispatcher,
    ) {}

    /**
     * Forwards a request and answers its caller.
     *
     * @param request The request.
     * @returns Whether the request may have run, once its answer is complete or was given up.
     */
    async forward(request: GatewayRequest): Promise<Verdict> {
        const progress: PassProgress = {
            lastEventId: undefined,
            runs: 0,
            prefilled: false,
            localPrefill: false,
            refused: undefined,
            excluded: new Set(),
        };
        let refusal: GatewayRefusal | undefined;
        for (let pass = 0; pass < MAXIMUM_PASSES && !request.signal.aborted; pass++) {
            if (pass > 0 && !this.services.retries.trySpend(request.service.name)) {
                refusal ??= failed("retry-budget-spent", "not-run", "Too many requests are being retried");
                break;
            }
            const grant = await this.queue.acquire(request, progress.excluded);
            if (grant.isErr()) {
                refusal ??= grant.error;
                break;
            }
            const outcome = await this.#pass(request, grant.value, progress);
            this.services.logger.info("generation pass ended", {
                request: request.id,
                pass: pass + 1,
                engine: grant.value.server.id,
                outcome: outcome.kind,
                cause: "message" in outcome ? outcome.message : undefined,
                lastEvent: progress.lastEventId,
                afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
                ...this.services.directoryUpdater.logFields(),
            });
            if (outcome.kind === "completed" || outcome.kind === "relayed") {
                return "may-have-run";
            }
            if (outcome.kind === "key-withdrawn") {
                refusal = failed("configuration-stale", "not-run", outcome.message);
                break;
            }
            if (outcome.kind !== "handle-lost") {
                progress.excluded.add(grant.value.server.id);
            }
            if (outcome.kind === "may-have-run" || outcome.kind === "broken") {
                if (!request.signal.aborted) {
                    this.services.serverLoads.get(grant.value.server.id).recordFailure();
                }
                this.services.crashes.suspect(request, grant.value.server.id);
                progress.runs++;
                refusal = failed("backend-failed", "may-have-run", outcome.message);
                const mayRepeat = request.route.resumable && progress.runs < request.route.maximumServers;
                if (!mayRepeat) {
                    break;
                }
            }
            else {
                refusal ??= failed("no-backend-server", "not-run", outcome.message);
            }
        }
        this.#giveBack(progress);
        const final = this.#final(request, refusal);
        sendRefusal(request, final, this.services);
        return final.verdict;
    }

    /** Frees a prefill's result that is not going to be used. */
    #giveBack(progress: PassProgress): void {
        if (progress.refused) {
            const { server, handle } = progress.refused.prefilled;
            this.caller.release(server, this.services.engineProtocol.releaseHandle(handle));
            progress.refused = undefined;
        }
    }

    #final(request: GatewayRequest, refusal: GatewayRefusal | undefined): GatewayRefusal {
        if (request.signal.aborted) {
            const verdict = refusal?.verdict ?? "not-run";
            return {
                status: verdict === "not-run" ? 503 : 504,
                reason: "deadline-passed",
                verdict,
                message: "No answer in time",
            };
        }
        return refusal ?? failed("no-backend-server", "not-run", "No engine could take the request");
    }

    async #pass(request: GatewayRequest, grant: DecodeReservation, progress: PassProgress): Promise<PassOutcome> {
        let reservationUsed = false;
        try {
            const resume = progress.lastEventId === undefined
                ? []
                : [this.services.headers.lastEventId, String(progress.lastEventId)];
            const prefilled = await this.#prefillFor(request, grant, progress, resume);
            progress.prefilled = true;
            if (request.signal.aborted) {
                prefilled.map(result => {
                    progress.refused = { prefilled: result, by: grant.server.id };
                });
                return { kind: "not-run", message: "The request was given up" };
            }
            if (prefilled.isErr() && prefilled.error.sent && !this.services.retries.trySpend(request.service.name)) {
                return { kind: "not-run", message: `${prefilled.error.message}; too many requests are being retried` };
            }
            const { engineProtocol: engines, headers } = this.services;
            const extra = [...resume, headers.reservation, grant.reservationId];
            if (prefilled.isOk()) {
                extra.push(
                    headers.prefillResult,
                    engines.prefillSource(prefilled.value.server.address, prefilled.value.handle),
                );
            }
            reservationUsed = true;
            const load = this.services.serverLoads.get(grant.server.id);
            const directTokens = prefilled.isOk() ? 0 : request.promptTokens;
            load.prefillTokens += directTokens;
            const settle = () => {
                load.prefillTokens -= settled ? 0 : directTokens;
                settled = true;
            };
            let settled = false;
            const outcome = await this.#decode(request, grant, extra, progress, settle).finally(settle);
            return this.#judge(outcome, prefilled.unwrapOr(undefined), grant, progress);
        }
        finally {
            this.queue.release(grant);
            if (!reservationUsed) {
                this.caller.release(grant.server, this.services.engineProtocol.releaseReservation(grant.reservationId));
            }
        }
    }

    async #prefillFor(
        request: GatewayRequest,
        grant: DecodeReservation,
        progress: PassProgress,
        resume: string[],
    ): Promise<Result<PrefillResult, PrefillFailure>> {
        if (progress.refused) {
            return ok(progress.refused.prefilled);
        }
        if (progress.localPrefill || this.prefill.isLocalPrefillFaster(request, grant.server)) {
            return err({ message: "The prompt is computed by the decode engine", sent: false });
        }
        return await this.prefill.run(request, grant.server, resume, progress.prefilled);
    }

    /**
     * Tells an engine that takes no requests from a prefill's result that cannot be fetched: both are answered in the
     * same way, so the same result is offered to a second engine.
     */
    #judge(
        outcome: PassOutcome,
        prefilled: PrefillResult | undefined,
        grant: DecodeReservation,
        progress: PassProgress,
    ): PassOutcome {
        const { serverLoads: book } = this.services;
        const engine = grant.server.id;
        const refusedBefore = progress.refused;
        if (outcome.kind === "key-withdrawn" && prefilled) {
            progress.refused = { prefilled, by: engine };
            return outcome;
        }
        if (outcome.kind === "moved" && prefilled) {
            progress.refused = { prefilled, by: refusedBefore?.by ?? engine };
            return outcome;
        }
        if (outcome.kind !== "not-run") {
            if (refusedBefore) {
                // The second engine took the result, so the first one takes nothing at present.
                book.avoid(refusedBefore.by, REFUSING_MILLISECONDS);
                progress.refused = undefined;
            }
            return outcome;
        }
        if (!prefilled) {
            book.avoid(engine, REFUSING_MILLISECONDS);
            return outcome;
        }
        if (!refusedBefore) {
            progress.refused = { prefilled, by: engine };
            return outcome;
        }
        this.#giveBack(progress);
        book.avoid(prefilled.server.id, AVOID_MILLISECONDS);
        progress.excluded.delete(refusedBefore.by);
        progress.localPrefill = true;
        return { kind: "handle-lost", message: outcome.message };
    }

    async #decode(
        request: GatewayRequest,
        grant: DecodeReservation,
        extra: string[],
        progress: PassProgress,
        onFirstEvent: () => void,
    ): Promise<PassOutcome> {
        const { headers, connections, serverLoads: book, metrics } = this.services;
        const { server } = grant;
        const load = book.get(server.id);
        if (!this.services.directory.isUsable(server)) {
            return { kind: "not-run", message: "The decode engine is leaving" };
        }
        if (request.key !== undefined && !this.services.directoryUpdater.canAcceptKey(request.key)) {
            return { kind: "key-withdrawn", message: "The key cannot be confirmed" };
        }
        load.recordSend();
        const answer = await connections.send({
            address: server.address,
            method: request.method,
            path: request.path,
            headers: [...withoutHeader(backendHeaders(request, server, headers), extra), ...extra],
            body: request.body.length > 0 ? request.body : undefined,
            timeoutMilliseconds: Math.min(
                engineIdleTimeout(request, progress),
                request.deadline - monotonicMilliseconds(),
            ),
            signal: request.signal,
            correlation: { header: headers.requestId, value: request.id },
        });
        if (answer.isErr()) {
            metrics.increment("decodes_total", { result: answer.error.kind });
            if (answer.error.verdict === "not-run") {
                load.recordFailure();
            }
            if (answer.error.kind !== "aborted") {
                load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
            }
            return { kind: answer.error.verdict, message: answer.error.message };
        }
        const { status } = answer.value;
        metrics.increment("decodes_total", { result: String(status) });
        if (status === 421 || answer.value.headers[headers.notRun] !== undefined) {
            await readResponseBody(answer.value, BODY_MILLISECONDS, MAXIMUM_ANSWER_BYTES);
            if (status === 421) {
                book.markGone(server.id);
                this.services.crashes.recordServerEnd(server.id);
                return { kind: "moved", message: "Another server answers at the engine's address" };
            }
            return { kind: "not-run", message: `The decode engine answered with status ${status}` };
        }
        if (status !== 200) {
            return await this.#relayFailure(request, answer.value);
        }
        const genuine = answer.value.headers[headers.signature] !== undefined
            && answer.value.headers["content-encoding"] === undefined;
        if (!genuine) {
            answer.value.close();
            return { kind: "may-have-run", message: "The engine's answer is not signed or is encoded" };
        }
        return await relayEvents(
            { request, grant, progress, onEvent: onFirstEvent },
            answer.value,
            this.services,
        );
    }

    async #relayFailure(request: GatewayRequest, answer: BackendResponse): Promise<PassOutcome> {
        const body = await readResponseBody(answer, BODY_MILLISECONDS, MAXIMUM_ANSWER_BYTES);
        const { response } = request;
        if (!body || response.headersSent || response.destroyed || request.route.resumable) {
            return { kind: "may-have-run", message: `The decode engine answered with status ${answer.status}` };
        }
        response.writeHead(answer.status, [
            ...filterRawHeaders(answer.rawHeaders, NONE),
            "Content-Length",
            String(body.length),
        ]);
        response.end(body);
        return { kind: "relayed" };
    }
}

/** Drops headers of the request that are given anew. */
function withoutHeader(headers: string[], replaced: string[]): string[] {
    const names = new Set(replaced.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()));
    return headers.filter((_, index) => !names.has((headers[index - index % 2] ?? "").toLowerCase()));
}

function failed(
    reason: GatewayRefusal["reason"],
    verdict: GatewayRefusal["verdict"],
    message: string,
): GatewayRefusal {
    const status = verdict === "not-run" ? 503 : 502;
    return { status, reason, verdict, message, ...verdict === "not-run" ? { retryAfterMilliseconds: 500 } : {} };
}
