import { err, ok, type Result } from "neverthrow";
import { isDrained } from "../configuration/mod.ts";
import { type DecodeEvent, EngineFailure, type PrefillResult } from "../engines/mod.ts";
import type { Charge } from "../limits/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { AttemptOutcome } from "./_attempt_outcome.ts";
import type { CapacityGrant } from "./_capacity_grant.ts";
import { ServerAllocator } from "./_server_allocator.ts";
import type { Completion } from "./completion.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelRouterOptions } from "./model_router_options.ts";
import type { RetryBudget } from "./retry_budget.ts";

const MAXIMUM_ATTEMPTS = 4;
const PREFILL_TIMEOUT_MILLISECONDS = 15_000;
const FIRST_EVENT_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Execution of one model request. An attempt is one pass through prefill and decode; a later attempt continues after
 * the output tokens that were already delivered.
 */
export class ModelRun {
    #charge: Charge;
    #dispatched = false;
    #mayHaveRun = false;
    #attempt = 0;
    #chargeSettled = false;
    /** Whether an engine could not report how many tokens it generated; the whole charge is kept then. */
    #usageUnknown = false;
    #undeliveredTokens = 0;
    #deliveredBeforeAttempt = 0;
    readonly #deliveredTokens: string[] = [];
    readonly #allocator: ServerAllocator;

    constructor(
        private readonly job: ModelJob,
        charge: Charge,
        private readonly options: ModelRouterOptions,
        private readonly retryBudget: RetryBudget,
        private readonly emit: (text: string) => Promise<void>,
        private readonly signal: AbortSignal,
    ) {
        this.#charge = charge;
        this.#allocator = new ServerAllocator(job, options, signal);
    }

    /** Runs attempts until the completion has ended or no further attempt is allowed. */
    async execute(): Promise<Result<Completion, Refusal>> {
        try {
            while (true) {
                this.#attempt++;
                const outcome = await this.#runAttempt();
                if (outcome.kind === "completed") {
                    return ok(outcome.completion);
                }
                if (this.signal.aborted) {
                    return err(this.#refusalFromSignal());
                }
                if (outcome.kind === "refused") {
                    return err(outcome.refusal);
                }
                this.options.metrics.increment("retries_total", { reason: outcome.reason });
                if (this.#attempt >= MAXIMUM_ATTEMPTS || !this.retryBudget.trySpend()) {
                    return err(this.#createRefusal(502, "backend-failed", outcome.message));
                }
            }
        }
        finally {
            this.#settleCharge();
        }
    }

    async #runAttempt(): Promise<AttemptOutcome> {
        if (this.options.suspects.isBlocked(this.job.fingerprint)) {
            const message = "The request crashed two servers and is not tried again";
            return { kind: "refused", refusal: this.#createRefusal(422, "request-crashes-servers", message) };
        }
        const decodeGrant = await this.#reserve("decode", this.options.failureDomain);
        if (decodeGrant instanceof Refusal) {
            return { kind: "refused", refusal: decodeGrant };
        }
        const domain = this.#findServer(decodeGrant.server)?.failureDomain ?? this.options.failureDomain;
        const prefillGrant = await this.#reserve("prefill", domain);
        if (prefillGrant instanceof Refusal) {
            this.#allocator.release(decodeGrant, "unused");
            return { kind: "refused", refusal: prefillGrant };
        }
        const earlyOutcome = await this.#renewCharge() ?? this.#findEarlyOutcome(decodeGrant, prefillGrant);
        if (earlyOutcome) {
            this.#allocator.release(decodeGrant, "unused");
            this.#allocator.release(prefillGrant, "unused");
            return earlyOutcome;
        }
        const prefillResult = await this.#prefill(prefillGrant);
        if (prefillResult.isErr()) {
            this.#allocator.release(decodeGrant, "unused");
            return prefillResult.error;
        }
        return await this.#decode(decodeGrant, prefillGrant.server, prefillResult.value);
    }

    async #prefill(grant: CapacityGrant): Promise<Result<PrefillResult, AttemptOutcome>> {
        const { engines, policy } = this.options;
        const engine = engines.at(this.#allocator.addressOf(grant.server));
        const signal = AbortSignal.any([this.signal, AbortSignal.timeout(PREFILL_TIMEOUT_MILLISECONDS)]);
        this.#dispatched = true;
        const result = await engine.prefill({
            request: grant.id,
            model: this.job.model,
            prompt: this.job.prompt,
            generated: this.#deliveredTokens.join(""),
            priority: this.#allocator.priority(),
        }, signal);
        if (result.isOk()) {
            this.#mayHaveRun = true;
            this.#allocator.release(grant, "done");
            policy.recordPrefill(grant.server, this.#allocator.placementRequest(""));
            return ok(result.value);
        }
        this.#mayHaveRun ||= result.error.verdict === "may-have-run";
        await this.#abandon("prefill", grant, result.error);
        const reason = result.error.kind === "down"
            ? "prefill-down"
            : result.error.kind === "timeout"
            ? "prefill-timeout"
            : "prefill-refused";
        return err({ kind: "failed", reason, message: result.error.message });
    }

    async #decode(grant: CapacityGrant, source: string, prefill: PrefillResult): Promise<AttemptOutcome> {
        const { engines, metrics } = this.options;
        const earlyOutcome = this.#findEarlyOutcome(grant);
        if (earlyOutcome) {
            const reason = earlyOutcome.kind === "failed" ? earlyOutcome.reason : "caller-gone";
            metrics.increment("wasted_prefills_total", { reason });
            this.#allocator.release(grant, "unused");
            return earlyOutcome;
        }
        const engine = engines.at(this.#allocator.addressOf(grant.server));
        const firstEvent = new AbortController();
        const timer = setTimeout(() => {
            firstEvent.abort(new DOMException("No event in time", "TimeoutError"));
        }, FIRST_EVENT_TIMEOUT_MILLISECONDS);
        this.#deliveredBeforeAttempt = this.#deliveredTokens.length;
        try {
            const stream = await engine.decode({
                request: grant.id,
                model: this.job.model,
                source: this.#allocator.addressOf(source),
                handle: prefill.handle,
                offset: this.#deliveredTokens.length,
                maximumTokens: this.job.maximumTokens,
                priority: this.#allocator.priority(),
            }, AbortSignal.any([this.signal, firstEvent.signal]));
            if (stream.isErr()) {
                throw stream.error;
            }
            const outcome = await this.#relay(stream.value, grant.id, () => clearTimeout(timer));
            if (outcome.kind === "completed") {
                this.#allocator.release(grant, "done");
            }
            else {
                await this.#abandon("decode", grant, new EngineFailure("refused", "may-have-run", "Stream abandoned"));
            }
            return outcome;
        }
        catch (error) {
            if (!(error instanceof EngineFailure)) {
                await this.#abandon("decode", grant, new EngineFailure("cancelled", "may-have-run", String(error)));
                throw error;
            }
            await this.#abandon("decode", grant, error);
            return this.#classifyDecodeFailure(error, this.#deliveredTokens.length > this.#deliveredBeforeAttempt);
        }
        finally {
            clearTimeout(timer);
        }
    }

    async #relay(
        stream: AsyncIterable<DecodeEvent>,
        id: string,
        onEvent: () => void,
    ): Promise<AttemptOutcome> {
        for await (const event of stream) {
            onEvent();
            if (event.request !== id || event.offset > this.#deliveredTokens.length) {
                return { kind: "failed", reason: "stream-crossed", message: "An event belongs to another request" };
            }
            if (event.finish !== undefined && event.offset === this.#deliveredTokens.length) {
                const { promptTokens } = this.job;
                const outputTokens = this.#deliveredTokens.length;
                return { kind: "completed", completion: { finish: event.finish, promptTokens, outputTokens } };
            }
            if (event.text !== undefined && event.offset === this.#deliveredTokens.length) {
                this.options.invariants.check("event-belongs-to-request", event.request === id);
                this.#deliveredTokens.push(event.text);
                await this.emit(event.text);
            }
            // An event with a lower offset repeats a delivered token and is skipped.
            if (this.signal.aborted) {
                return { kind: "refused", refusal: this.#refusalFromSignal() };
            }
        }
        return { kind: "failed", reason: "stream-broken", message: "The stream ended before the answer did" };
    }

    #classifyDecodeFailure(error: EngineFailure, hasDelivered: boolean): AttemptOutcome {
        const { metrics } = this.options;
        if (!hasDelivered) {
            metrics.increment("wasted_prefills_total", { reason: error.kind });
        }
        if (error.kind === "handle-gone") {
            return { kind: "failed", reason: "handle-expired", message: error.message };
        }
        if (error.kind === "refused") {
            return { kind: "failed", reason: "decode-refused", message: error.message };
        }
        const reason = error.kind === "timeout" ? "decode-timeout" : "decode-down";
        return { kind: "failed", reason, message: error.message };
    }

    /** Cancels the request at the engine if it may have run there, and releases the grant. */
    async #abandon(role: "prefill" | "decode", grant: CapacityGrant, failure: EngineFailure): Promise<void> {
        if (failure.verdict === "not-run") {
            this.#allocator.release(grant, failure.kind === "down" ? "failed" : "unused");
            return;
        }
        const engine = this.options.engines.at(this.#allocator.addressOf(grant.server));
        const cancelled = await engine.cancel(grant.id);
        this.#recordGenerated(cancelled.isOk() ? cancelled.value.generated : undefined);
        if (failure.kind === "down") {
            await this.#reportCrash(role, grant);
            return;
        }
        const cancelUnconfirmed = cancelled.isErr() && cancelled.error.verdict === "may-have-run";
        this.#allocator.release(grant, cancelUnconfirmed ? "orphaned" : "unused");
    }

    /**
     * Releases the grant and reports the request as a suspect if the server has crashed. Only a request that held a
     * reservation at that time can have caused the crash.
     */
    async #reportCrash(role: "prefill" | "decode", grant: CapacityGrant): Promise<void> {
        const { policy, reservations, suspects } = this.options;
        if (!policy.reservesCapacity) {
            this.#allocator.release(grant, "failed");
        }
        else if (await reservations.release(grant, "failed")) {
            await suspects.report(this.job.fingerprint, grant.server, role);
        }
    }

    async #reserve(role: "prefill" | "decode", domain: string): Promise<CapacityGrant | Refusal> {
        // Unique for each attempt, so that what an engine still holds of one is not taken for the next.
        const reserved = await this.#allocator.reserve(role, `${this.job.id}.${this.#attempt}`, domain);
        if (typeof reserved === "object") {
            return reserved;
        }
        if (this.signal.aborted) {
            return this.#refusalFromSignal();
        }
        return reserved === "no-server"
            ? this.#createRefusal(503, "no-backend-server", `No ${role} server may take the request`, 1)
            : this.#createRefusal(503, "queue-deadline", `No ${role} server had room in time`, 2);
    }

    /** Renews the charge if it is no longer valid when the request is dispatched for the first time. */
    async #renewCharge(): Promise<AttemptOutcome | undefined> {
        const { limiter } = this.options;
        while (!this.#dispatched && !limiter.isChargeValid(this.#charge)) {
            limiter.settle(this.#charge, 0);
            this.#chargeSettled = true;
            const renewed = await limiter.charge(
                this.job.organisation,
                this.job.id,
                this.#charge.amount,
                this.signal,
            );
            if (renewed.isErr()) {
                return { kind: "refused", refusal: renewed.error };
            }
            this.#charge = renewed.value;
            this.#chargeSettled = false;
        }
        return undefined;
    }

    /** Counts tokens that an engine generated but this instance did not receive; they are charged as well. */
    #recordGenerated(generated: number | undefined): void {
        if (generated === undefined) {
            this.#usageUnknown = true;
            return;
        }
        const received = this.#deliveredTokens.length - this.#deliveredBeforeAttempt;
        this.#undeliveredTokens += Math.max(0, generated - received);
    }

    /** Returns the outcome of an attempt that must end before its next dispatch, or undefined if it may continue. */
    #findEarlyOutcome(...grants: CapacityGrant[]): AttemptOutcome | undefined {
        if (this.signal.aborted) {
            return { kind: "refused", refusal: this.#refusalFromSignal() };
        }
        const { policy, reservations, configuration } = this.options;
        if (grants.some(grant => isDrained(configuration.document, grant.server))) {
            return { kind: "failed", reason: "server-drained", message: "A server was taken out meanwhile" };
        }
        if (!policy.reservesCapacity || grants.every(grant => reservations.isGrantValid(grant))) {
            return undefined;
        }
        return { kind: "failed", reason: "reservation-expired", message: "A reservation expired before its use" };
    }

    #findServer(name: string) {
        return this.options.configuration.document.backendServers[name];
    }

    #settleCharge(): void {
        if (!this.#chargeSettled) {
            this.options.limiter.settle(this.#charge, this.#tokensUsed());
        }
    }

    #tokensUsed(): number {
        if (!this.#mayHaveRun) {
            return 0;
        }
        return this.#usageUnknown
            ? this.#charge.amount
            : this.job.promptTokens + this.#deliveredTokens.length + this.#undeliveredTokens;
    }

    #refusalFromSignal(): Refusal {
        const reason: unknown = this.signal.reason;
        if (reason instanceof Refusal) {
            return this.#createRefusal(reason.status, reason.reason, reason.message);
        }
        return this.#createRefusal(499, "caller-gone", "The caller is gone");
    }

    #createRefusal(
        status: number,
        reason: Refusal["reason"],
        message: string,
        retryAfterSeconds?: number,
    ): Refusal {
        const verdict = this.#mayHaveRun ? "may-have-run" : "not-run";
        return new Refusal(status, reason, verdict, message, retryAfterSeconds ? { retryAfterSeconds } : {});
    }
}
