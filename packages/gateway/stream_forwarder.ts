import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { chooseFinalRefusal } from "./_choose_final_refusal.ts";
import { createPassProgress } from "./_create_pass_progress.ts";
import { createStreamRefusal } from "./_create_stream_refusal.ts";
import { findObstacle } from "./_find_obstacle.ts";
import { isPresentStart } from "./_is_present_start.ts";
import { logPass } from "./_log_pass.ts";
import { recordPass } from "./_record_pass.ts";
import { spendRetry } from "./_spend_retry.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import { DecodePass } from "./decode_pass.ts";
import type { DecodeQueue } from "./decode_queue.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";
import type { PeerRelay } from "./peer_relay.ts";
import type { PrefillDispatcher } from "./prefill_dispatcher.ts";
import type { PrefillFailure } from "./prefill_failure.ts";
import type { PrefillResult } from "./prefill_result.ts";
import { refuseBlockedPart } from "./refuse_blocked_part.ts";
import { refuseKey } from "./refuse_key.ts";
import { SuccessorSearch } from "./successor_search.ts";
import { VersionGuard } from "./version_guard.ts";

/** Largest number of passes of one request through prefill and decode. */
const MAXIMUM_PASSES = 4;
const AVOID_MILLISECONDS = 800;
/** Time in milliseconds that an engine is avoided after it refused a request, since it changes its stage or drains. */
const REFUSED_AVOID_MILLISECONDS = 1_500;

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
    readonly #decodePass: DecodePass;
    readonly #successorSearch: SuccessorSearch;
    readonly #versionGuard: VersionGuard;

    /**
     * @param context Shared objects of the gateway.
     * @param queue Reserves memory at decode engines.
     * @param engineClient Calls engines.
     * @param prefillDispatcher Sends prompts to prefill engines.
     * @param peerRelay Tells which streams may go on at another instance.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly queue: DecodeQueue,
        private readonly engineClient: EngineClient,
        private readonly prefillDispatcher: PrefillDispatcher,
        private readonly peerRelay: PeerRelay,
    ) {
        this.#decodePass = new DecodePass(context);
        this.#versionGuard = new VersionGuard(context);
        this.#successorSearch = new SuccessorSearch(context, queue, engineClient, this.#versionGuard);
    }

    /**
     * Forwards a request and relays the answer of an engine to its caller.
     *
     * @param request The request.
     * @returns The refusal with which it ends; undefined once its caller has got the whole answer.
     */
    async forward(request: GatewayRequest): Promise<GatewayRefusal | undefined> {
        const progress = createPassProgress();
        let refusal = await this.#versionGuard.admit(request, progress);
        if (refusal) {
            return refusal;
        }
        for (let pass = 0; pass < MAXIMUM_PASSES && !request.signal.aborted; pass++) {
            const isBlocked = pass > 0 && this.context.promptParts.isBlocked(request.promptParts);
            const ownRefusal = refuseKey(request.key, this.context) ?? (isBlocked ? refuseBlockedPart() : undefined);
            if (ownRefusal) {
                // An earlier pass may have run, which its refusal says.
                refusal = progress.runs > 0 ? refusal : ownRefusal;
                break;
            }
            const unidentified = await this.#versionGuard.admitNextPass(request, progress);
            if (unidentified) {
                refusal = unidentified;
                break;
            }
            const { successor } = progress;
            progress.successor = undefined;
            progress.mustGoOn ||= successor !== undefined;
            if (pass > 0 && !successor && !await spendRetry(request, progress, this.context.retryBudget)) {
                refusal ??= createStreamRefusal("retry-budget-spent", "not-run", "Too many requests are being retried");
                break;
            }
            const answerBegun = progress.lastEventId !== undefined;
            const reservation = successor
                ? ok(successor)
                : await this.queue.acquire(request, progress.excluded, {
                    answerBegun,
                    softwareVersion: progress.softwareVersion,
                });
            if (reservation.isErr()) {
                refusal ??= reservation.error;
                if (progress.mustGoOn) {
                    continue;
                }
                break;
            }
            const outcome = await this.#runPass(request, reservation.value, progress, pass + 1 < MAXIMUM_PASSES);
            logPass({ request, pass: pass + 1, engine: reservation.value.server, outcome, progress }, this.context);
            if (outcome.kind === "completed" || outcome.kind === "relayed") {
                return undefined;
            }
            if (outcome.kind === "key-refused" || outcome.kind === "part-blocked") {
                refusal = progress.runs > 0 ? refusal : outcome.refusal;
                break;
            }
            if (outcome.kind !== "handle-lost") {
                progress.excluded.add(reservation.value.server.id);
            }
            if (outcome.kind === "may-have-run" || outcome.kind === "broken") {
                if (!request.signal.aborted) {
                    this.context.serverLoads.get(reservation.value.server.id).recordFailure();
                }
                progress.runs++;
                request.exchange.runs++;
                progress.mustGoOn = false;
                refusal = createStreamRefusal("backend-failed", "may-have-run", outcome.message);
                const mayRepeat = request.route.resumable && progress.runs < request.route.maximumServers;
                if (!mayRepeat) {
                    break;
                }
            }
            else {
                refusal ??= createStreamRefusal("no-backend-server", "not-run", outcome.message);
            }
        }
        this.#releaseRefusedPrefill(progress);
        this.#successorSearch.releaseUnused(progress);
        return chooseFinalRefusal(request, refusal, this.context);
    }

    /** Releases a prefill result that will not be used. */
    #releaseRefusedPrefill(progress: PassProgress): void {
        if (progress.refused) {
            const { server, handle } = progress.refused.prefillResult;
            this.engineClient.release(server, this.context.engineProtocol.releaseHandle(handle));
            progress.refused = undefined;
        }
    }

    async #runPass(
        request: GatewayRequest,
        reservation: DecodeReservation,
        progress: PassProgress,
        mayPassAgain: boolean,
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
            const { engineProtocol, headers, retryBudget } = this.context;
            const mustGoOn = progress.mustGoOn || progress.lastEventId !== undefined;
            if (prefilled.isErr() && prefilled.error.sent && !retryBudget.trySpend(request.service.name, mustGoOn)) {
                return { kind: "not-run", message: `${prefilled.error.message}; too many requests are being retried` };
            }
            const obstacle = findObstacle(request, reservation.server, this.context);
            if (obstacle) {
                return this.#applyOutcome(obstacle, prefilled.unwrapOr(undefined), reservation, progress);
            }
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
            const mayResume = mayPassAgain && request.route.resumable
                && progress.runs + 1 < request.route.maximumServers;
            const findSuccessor = mayResume
                ? async (isStillSilent: () => boolean) =>
                    this.peerRelay.canPass(request)
                    || await this.#successorSearch.find(request, progress, reservation, isStillSilent)
                : undefined;
            const run = { request, reservation, extraHeaders, progress, localPrefillTokens, findSuccessor };
            if (request.isProbe) {
                this.context.promptParts.recordProbe(request.promptParts);
            }
            const evidence = new CrashEvidence(this.context, request, reservation);
            const recordEvent = (identified: Promise<string | undefined> | undefined) => {
                endLocalPrefill();
                this.#versionGuard.recordEvent(request, identified, progress);
                evidence.recordEvent();
            };
            const startedAt = monotonicMilliseconds();
            const outcome = await this.#decodePass.run(run, recordEvent).finally(endLocalPrefill);
            const milliseconds = monotonicMilliseconds() - startedAt;
            recordPass(request, reservation, outcome, milliseconds, prefilled.isOk(), this.context);
            evidence.recordOutcome(outcome);
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
        if (progress.refused && isPresentStart(progress.refused.prefillResult.server, this.context.directory)) {
            return ok(progress.refused.prefillResult);
        }
        // A process ends with its results; whichever has its address then may give others the same names.
        progress.refused = undefined;
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
        if ((outcome.kind === "key-refused" || outcome.kind === "part-blocked") && prefilled) {
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
}
