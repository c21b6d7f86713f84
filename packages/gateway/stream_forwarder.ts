import { err, ok, type Result } from "neverthrow";
import type { BackendResponse } from "../backends/mod.ts";
import { readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import type { Verdict } from "../verdicts/mod.ts";
import { withoutHeaders } from "./_without_headers.ts";
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

/** Largest number of passes of one request through prefill and decode. */
const MAXIMUM_PASSES = 4;
const AVOID_MILLISECONDS = 800;
/** Speed in prompt tokens per millisecond below which a decode engine that computes a prompt itself counts as failed. */
const SLOWEST_LOCAL_TOKENS_PER_MILLISECOND = 5;
/** Time in milliseconds that an engine is avoided after it refused a request, since it changes its stage or drains. */
const REFUSED_AVOID_MILLISECONDS = 1_500;
/** Time in milliseconds allowed for the body of an error response. */
const ERROR_BODY_MILLISECONDS = 2_500;
const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** A run of a request at the decode engine that holds its reservation. */
interface DecodeRun {
    request: GatewayRequest;
    reservation: DecodeReservation;
    /** Alternating names and values. */
    extraHeaders: string[];
    progress: PassProgress;
    /** Prompt tokens that the decode engine computes itself. */
    localPrefillTokens: number;
}

/**
 * Forwards model requests: reserves memory at a decode engine, has the prompt computed by a prefill engine, and relays
 * the events of the decode engine.
 *
 * @example
 * ```ts
 * await new StreamForwarder(context, queue, engineClient, prefillDispatcher).forward(request);
 * ```
 */
export class StreamForwarder {
    /**
     * @param context Shared objects of the gateway.
     * @param queue Reserves memory at decode engines.
     * @param engineClient Calls engines.
     * @param prefillDispatcher Sends prompts to prefill engines.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly queue: DecodeQueue,
        private readonly engineClient: EngineClient,
        private readonly prefillDispatcher: PrefillDispatcher,
    ) {}

    /**
     * Forwards a request and sends the response to its caller.
     *
     * @param request The request.
     * @returns Whether the request may have run; resolves once the response has ended.
     */
    async forward(request: GatewayRequest): Promise<Verdict> {
        const progress: PassProgress = {
            lastEventId: undefined,
            runs: 0,
            prefillAttempted: false,
            localPrefill: false,
            refused: undefined,
            excluded: new Set(),
        };
        let refusal: GatewayRefusal | undefined;
        for (let pass = 0; pass < MAXIMUM_PASSES && !request.signal.aborted; pass++) {
            if (pass > 0 && !this.context.retryBudget.trySpend(request.service.name)) {
                refusal ??= failed("retry-budget-spent", "not-run", "Too many requests are being retried");
                break;
            }
            const reservation = await this.queue.acquire(request, progress.excluded);
            if (reservation.isErr()) {
                refusal ??= reservation.error;
                break;
            }
            const outcome = await this.#runPass(request, reservation.value, progress);
            this.context.logger.info("generation pass ended", {
                request: request.id,
                pass: pass + 1,
                engine: reservation.value.server.id,
                outcome: outcome.kind,
                cause: "message" in outcome ? outcome.message : undefined,
                lastEvent: progress.lastEventId,
                afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
                ...this.context.directoryUpdater.logFields(),
            });
            if (outcome.kind === "completed" || outcome.kind === "relayed") {
                return "may-have-run";
            }
            if (outcome.kind === "key-withdrawn") {
                // An earlier pass may have run, which its refusal says.
                refusal = progress.runs > 0 ? refusal : failed("configuration-stale", "not-run", outcome.message);
                break;
            }
            if (outcome.kind !== "handle-lost") {
                progress.excluded.add(reservation.value.server.id);
            }
            if (outcome.kind === "may-have-run" || outcome.kind === "broken") {
                if (!request.signal.aborted) {
                    this.context.serverLoads.get(reservation.value.server.id).recordFailure();
                }
                this.context.crashRegistry.recordBrokenConnection(request, reservation.value.server.id);
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
        this.#releaseRefusedPrefill(progress);
        const final = this.#finalRefusal(request, refusal);
        sendRefusal(request, final, this.context);
        return final.verdict;
    }

    /** Releases a prefill result that will not be used. */
    #releaseRefusedPrefill(progress: PassProgress): void {
        if (progress.refused) {
            const { server, handle } = progress.refused.prefillResult;
            this.engineClient.release(server, this.context.engineProtocol.releaseHandle(handle));
            progress.refused = undefined;
        }
    }

    #finalRefusal(request: GatewayRequest, refusal: GatewayRefusal | undefined): GatewayRefusal {
        if (request.signal.aborted) {
            const verdict = refusal?.verdict ?? "not-run";
            return {
                status: verdict === "not-run" ? 503 : 504,
                reason: "deadline-passed",
                verdict,
                message: "No answer in time",
            };
        }
        return refusal?.verdict === "may-have-run"
            ? refusal
            : this.context.availability.findRefusal(request.service.name, "decode")
                ?? refusal ?? failed("no-backend-server", "not-run", "No engine could take the request");
    }

    async #runPass(
        request: GatewayRequest,
        reservation: DecodeReservation,
        progress: PassProgress,
    ): Promise<PassOutcome> {
        let reservationUsed = false;
        try {
            const resumeHeaders = progress.lastEventId === undefined
                ? []
                : [this.context.headers.lastEventId, String(progress.lastEventId)];
            const prefilled = await this.#prefill(request, reservation, progress, resumeHeaders);
            progress.prefillAttempted = true;
            if (request.signal.aborted) {
                prefilled.map(result => {
                    progress.refused = { prefillResult: result, by: reservation.server.id };
                });
                return { kind: "not-run", message: "The request was given up" };
            }
            if (prefilled.isErr() && prefilled.error.sent && !this.context.retryBudget.trySpend(request.service.name)) {
                return { kind: "not-run", message: `${prefilled.error.message}; too many requests are being retried` };
            }
            const obstacle = this.#findObstacle(request, reservation);
            if (obstacle) {
                return this.#applyOutcome(obstacle, prefilled.unwrapOr(undefined), reservation, progress);
            }
            const { engineProtocol, headers } = this.context;
            const extraHeaders = [...resumeHeaders, headers.reservation, reservation.reservationId];
            if (prefilled.isOk()) {
                extraHeaders.push(
                    headers.prefillResult,
                    engineProtocol.prefillSource(prefilled.value.server.address, prefilled.value.handle),
                );
            }
            reservationUsed = true;
            const load = this.context.serverLoads.get(reservation.server.id);
            const localPrefillTokens = prefilled.isOk() ? 0 : request.promptTokens;
            load.prefillTokens += localPrefillTokens;
            const endLocalPrefill = () => {
                load.prefillTokens -= localPrefillEnded ? 0 : localPrefillTokens;
                localPrefillEnded = true;
            };
            let localPrefillEnded = false;
            const run = { request, reservation, extraHeaders, progress, localPrefillTokens };
            const outcome = await this.#decode(run, endLocalPrefill).finally(endLocalPrefill);
            return this.#applyOutcome(outcome, prefilled.unwrapOr(undefined), reservation, progress);
        }
        finally {
            this.queue.release(reservation);
            if (!reservationUsed) {
                this.engineClient.release(
                    reservation.server,
                    this.context.engineProtocol.releaseReservation(reservation.reservationId),
                );
            }
        }
    }

    async #prefill(
        request: GatewayRequest,
        reservation: DecodeReservation,
        progress: PassProgress,
        resumeHeaders: string[],
    ): Promise<Result<PrefillResult, PrefillFailure>> {
        if (progress.refused) {
            return ok(progress.refused.prefillResult);
        }
        if (progress.localPrefill || this.prefillDispatcher.isLocalPrefillFaster(request, reservation.server)) {
            return err({ message: "The prompt is computed by the decode engine", sent: false });
        }
        return await this.prefillDispatcher.run(request, reservation.server, resumeHeaders, progress.prefillAttempted);
    }

    /**
     * Finds out whether a decode engine refuses all requests or cannot fetch the prefill result. Both lead to the same
     * response, so the same result is offered to a second engine.
     */
    #applyOutcome(
        outcome: PassOutcome,
        prefilled: PrefillResult | undefined,
        reservation: DecodeReservation,
        progress: PassProgress,
    ): PassOutcome {
        const { serverLoads } = this.context;
        const engine = reservation.server.id;
        const previouslyRefused = progress.refused;
        if (outcome.kind === "key-withdrawn" && prefilled) {
            progress.refused = { prefillResult: prefilled, by: engine };
            return outcome;
        }
        if ((outcome.kind === "moved" || outcome.kind === "withheld") && prefilled) {
            progress.refused = { prefillResult: prefilled, by: previouslyRefused?.by ?? engine };
            return outcome;
        }
        if (outcome.kind !== "not-run") {
            if (previouslyRefused) {
                // The second engine accepted the prefill result, so the first one refuses all requests.
                serverLoads.avoid(previouslyRefused.by, REFUSED_AVOID_MILLISECONDS);
                progress.refused = undefined;
            }
            return outcome;
        }
        if (!prefilled) {
            serverLoads.avoid(engine, REFUSED_AVOID_MILLISECONDS);
            return outcome;
        }
        if (!previouslyRefused) {
            progress.refused = { prefillResult: prefilled, by: engine };
            return outcome;
        }
        this.#releaseRefusedPrefill(progress);
        serverLoads.avoid(prefilled.server.id, AVOID_MILLISECONDS);
        progress.excluded.delete(previouslyRefused.by);
        progress.localPrefill = true;
        return { kind: "handle-lost", message: outcome.message };
    }

    /** Finds out whether the request may no longer be sent to its decode engine. */
    #findObstacle(request: GatewayRequest, reservation: DecodeReservation): PassOutcome | undefined {
        if (!this.context.availability.isUsable(reservation.server)) {
            return { kind: "withheld", message: "The decode engine is leaving or asks for a pause" };
        }
        if (request.key !== undefined && !this.context.directoryUpdater.canAcceptKey(request.key)) {
            return { kind: "key-withdrawn", message: "The key cannot be confirmed" };
        }
        return undefined;
    }

    async #decode(run: DecodeRun, onFirstEvent: () => void): Promise<PassOutcome> {
        const { request, reservation, extraHeaders, progress, localPrefillTokens } = run;
        const { headers, serverClient, serverLoads, metrics } = this.context;
        const { server } = reservation;
        const load = serverLoads.get(server.id);
        load.recordSend();
        const response = await serverClient.send(server, {
            method: request.method,
            path: request.path,
            headers: [...withoutHeaders(backendHeaders(request, server, headers), extraHeaders), ...extraHeaders],
            body: request.body.length > 0 ? request.body : undefined,
            timeoutMilliseconds: Math.min(
                engineIdleTimeout(request, progress) + localPrefillTokens / SLOWEST_LOCAL_TOKENS_PER_MILLISECOND,
                request.deadline - monotonicMilliseconds(),
            ),
            signal: request.signal,
            correlation: { header: headers.requestId, value: request.id },
        });
        if (response.isErr()) {
            metrics.increment("decodes_total", { result: response.error.kind });
            if (response.error.verdict === "not-run") {
                load.recordFailure();
            }
            if (response.error.kind !== "aborted") {
                load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
            }
            return { kind: response.error.verdict, message: response.error.message };
        }
        const { status } = response.value;
        metrics.increment("decodes_total", { result: String(status) });
        if (status === 421 || response.value.headers[headers.notRun] !== undefined) {
            await readResponseBody(response.value, ERROR_BODY_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
            if (status === 421) {
                serverLoads.markTerminated(server.id);
                this.context.crashRegistry.recordServerEnd(server.id);
                return { kind: "moved", message: "Another server answers at the engine's address" };
            }
            const kind = this.context.availability.isUsable(server) ? "not-run" : "withheld";
            return { kind, message: `The decode engine answered with status ${status}` };
        }
        if (status !== 200) {
            return await this.#relayErrorResponse(request, response.value);
        }
        const signedUnencoded = response.value.headers[headers.signature] !== undefined
            && response.value.headers["content-encoding"] === undefined;
        if (!signedUnencoded) {
            response.value.close();
            return { kind: "may-have-run", message: "The engine's answer is not signed or is encoded" };
        }
        return await relayEvents(
            { request, reservation, progress, onEvent: onFirstEvent },
            response.value,
            this.context,
        );
    }

    async #relayErrorResponse(request: GatewayRequest, backendResponse: BackendResponse): Promise<PassOutcome> {
        const body = await readResponseBody(backendResponse, ERROR_BODY_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
        const { response } = request;
        if (!body || response.headersSent || response.destroyed || request.route.resumable) {
            return {
                kind: "may-have-run",
                message: `The decode engine answered with status ${backendResponse.status}`,
            };
        }
        response.writeHead(backendResponse.status, [
            ...filterRawHeaders(backendResponse.rawHeaders, NO_HEADERS),
            "Content-Length",
            String(body.length),
        ]);
        response.end(body);
        return { kind: "relayed" };
    }
}

function failed(
    reason: GatewayRefusal["reason"],
    verdict: GatewayRefusal["verdict"],
    message: string,
): GatewayRefusal {
    const status = verdict === "not-run" ? 503 : 502;
    return { status, reason, verdict, message, ...verdict === "not-run" ? { retryAfterMilliseconds: 500 } : {} };
}
