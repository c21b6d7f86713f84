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

/** One model request on its way; an attempt is one pass through prefill and decode. */
export class ModelRun {
    #charge: Charge;
    #dispatched = false;
    #mayHaveRun = false;
    #attempt = 0;
    #settled = false;
    #useUnknown = false;
    #undelivered = 0;
    #deliveredBefore = 0;
    readonly #delivered: string[] = [];
    readonly #seeker: ServerAllocator;

    constructor(
        private readonly job: ModelJob,
        charge: Charge,
        private readonly options: ModelRouterOptions,
        private readonly budget: RetryBudget,
        private readonly emit: (text: string) => Promise<void>,
        private readonly signal: AbortSignal,
    ) {
        this.#charge = charge;
        this.#seeker = new ServerAllocator(job, options, signal);
    }

    /** Tries until the answer is complete or may not be tried again. */
    async execute(): Promise<Result<Completion, Refusal>> {
        try {
            while (true) {
                this.#attempt++;
                const outcome = await this.#tryOnce();
                if (outcome.kind === "completed") {
                    return ok(outcome.completion);
                }
                if (this.signal.aborted) {
                    return err(this.#refusalOfSignal());
                }
                if (outcome.kind === "refused") {
                    return err(outcome.refusal);
                }
                this.options.metrics.increment("retries_total", { reason: outcome.reason });
                if (this.#attempt >= MAXIMUM_ATTEMPTS || !this.budget.trySpend()) {
                    return err(this.#refuse(502, "backend-failed", outcome.message));
                }
            }
        }
        finally {
            this.#settle();
        }
    }

    async #tryOnce(): Promise<AttemptOutcome> {
        if (this.options.suspects.isBlocked(this.job.fingerprint)) {
            const message = "The request crashed two servers and is not tried again";
            return { kind: "refused", refusal: this.#refuse(422, "request-crashes-servers", message) };
        }
        const decode = await this.#reserve("decode", this.options.failureDomain);
        if (decode instanceof Refusal) {
            return { kind: "refused", refusal: decode };
        }
        const domain = this.#server(decode.server)?.failureDomain ?? this.options.failureDomain;
        const prefill = await this.#reserve("prefill", domain);
        if (prefill instanceof Refusal) {
            this.#seeker.release(decode, "unused");
            return { kind: "refused", refusal: prefill };
        }
        const stop = await this.#coverCharge() ?? this.#mayNotStart(decode, prefill);
        if (stop) {
            this.#seeker.release(decode, "unused");
            this.#seeker.release(prefill, "unused");
            return stop;
        }
        const computed = await this.#prefill(prefill);
        if (computed.isErr()) {
            this.#seeker.release(decode, "unused");
            return computed.error;
        }
        return await this.#decode(decode, prefill.server, computed.value);
    }

    async #prefill(grant: CapacityGrant): Promise<Result<PrefillResult, AttemptOutcome>> {
        const { engines, policy } = this.options;
        const engine = engines.at(this.#seeker.addressOf(grant.server));
        const signal = AbortSignal.any([this.signal, AbortSignal.timeout(PREFILL_TIMEOUT_MILLISECONDS)]);
        this.#dispatched = true;
        const result = await engine.prefill({
            request: grant.id,
            model: this.job.model,
            prompt: this.job.prompt,
            generated: this.#delivered.join(""),
            priority: this.#seeker.priority(),
        }, signal);
        if (result.isOk()) {
            this.#mayHaveRun = true;
            this.#seeker.release(grant, "done");
            policy.recordPrefill(grant.server, this.#seeker.placementRequest(""));
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
        const stop = this.#mayNotStart(grant);
        if (stop) {
            const reason = stop.kind === "failed" ? stop.reason : "caller-gone";
            metrics.increment("wasted_prefills_total", { reason });
            this.#seeker.release(grant, "unused");
            return stop;
        }
        const engine = engines.at(this.#seeker.addressOf(grant.server));
        const firstEvent = new AbortController();
        const timer = setTimeout(() => {
            firstEvent.abort(new DOMException("No event in time", "TimeoutError"));
        }, FIRST_EVENT_TIMEOUT_MILLISECONDS);
        this.#deliveredBefore = this.#delivered.length;
        try {
            const stream = await engine.decode({
                request: grant.id,
                model: this.job.model,
                source: this.#seeker.addressOf(source),
                handle: prefill.handle,
                offset: this.#delivered.length,
                maximumTokens: this.job.maximumTokens,
                priority: this.#seeker.priority(),
            }, AbortSignal.any([this.signal, firstEvent.signal]));
            if (stream.isErr()) {
                throw stream.error;
            }
            const outcome = await this.#relay(stream.value, grant.id, () => clearTimeout(timer));
            if (outcome.kind === "completed") {
                this.#seeker.release(grant, "done");
            }
            else {
                await this.#abandon("decode", grant, new EngineFailure("refused", "may-have-run", "Stream given up"));
            }
            return outcome;
        }
        catch (error) {
            if (!(error instanceof EngineFailure)) {
                await this.#abandon("decode", grant, new EngineFailure("cancelled", "may-have-run", String(error)));
                throw error;
            }
            await this.#abandon("decode", grant, error);
            return this.#classify(error, this.#delivered.length > this.#deliveredBefore);
        }
        finally {
            clearTimeout(timer);
        }
    }

    async #relay(
        stream: AsyncIterable<DecodeEvent>,
        id: string,
        onFirst: () => void,
    ): Promise<AttemptOutcome> {
        for await (const event of stream) {
            onFirst();
            if (event.request !== id || event.offset > this.#delivered.length) {
                return { kind: "failed", reason: "stream-crossed", message: "An event belongs to another request" };
            }
            if (event.finish !== undefined && event.offset === this.#delivered.length) {
                const { promptTokens } = this.job;
                const outputTokens = this.#delivered.length;
                return { kind: "completed", completion: { finish: event.finish, promptTokens, outputTokens } };
            }
            if (event.text !== undefined && event.offset === this.#delivered.length) {
                this.options.invariants.check("event-belongs-to-request", event.request === id);
                this.#delivered.push(event.text);
                await this.emit(event.text);
            }
            // An event with a lower offset repeats what was delivered.
            if (this.signal.aborted) {
                return { kind: "refused", refusal: this.#refusalOfSignal() };
            }
        }
        return { kind: "failed", reason: "stream-broken", message: "The stream ended before the answer did" };
    }

    #classify(error: EngineFailure, delivered: boolean): AttemptOutcome {
        const { metrics } = this.options;
        if (!delivered) {
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

    /** Frees what the engine may hold and gives the grant back. */
    async #abandon(role: "prefill" | "decode", grant: CapacityGrant, failure: EngineFailure): Promise<void> {
        if (failure.verdict === "not-run") {
            this.#seeker.release(grant, failure.kind === "down" ? "failed" : "unused");
            return;
        }
        const engine = this.options.engines.at(this.#seeker.addressOf(grant.server));
        const cancelled = await engine.cancel(grant.id);
        this.#noteGenerated(cancelled.isOk() ? cancelled.value.generated : undefined);
        if (failure.kind === "down") {
            await this.#reportCrash(role, grant);
            return;
        }
        const lost = cancelled.isErr() && cancelled.error.verdict === "may-have-run";
        this.#seeker.release(grant, lost ? "orphaned" : "unused");
    }

    /** Only a request that held a reservation when the server crashed may be what crashed it. */
    async #reportCrash(role: "prefill" | "decode", grant: CapacityGrant): Promise<void> {
        const { policy, reservations, suspects } = this.options;
        if (!policy.reservesCapacity) {
            this.#seeker.release(grant, "failed");
        }
        else if (await reservations.release(grant, "failed")) {
            await suspects.report(this.job.fingerprint, grant.server, role);
        }
    }

    async #reserve(role: "prefill" | "decode", domain: string): Promise<CapacityGrant | Refusal> {
        // Unique for each attempt, so that what is left of one is told from the next.
        const reserved = await this.#seeker.reserve(role, `${this.job.id}.${this.#attempt}`, domain);
        if (typeof reserved === "object") {
            return reserved;
        }
        if (this.signal.aborted) {
            return this.#refusalOfSignal();
        }
        return reserved === "no-server"
            ? this.#refuse(503, "no-backend-server", `No ${role} server may take the request`, 1)
            : this.#refuse(503, "queue-deadline", `No ${role} server had room in time`, 2);
    }

    /** Makes sure that the charge is recent when the request is dispatched for the first time. */
    async #coverCharge(): Promise<AttemptOutcome | undefined> {
        const { limiter } = this.options;
        while (!this.#dispatched && !limiter.isChargeValid(this.#charge)) {
            limiter.settle(this.#charge, 0);
            this.#settled = true;
            const charge = await limiter.charge(
                this.job.organisation,
                this.job.id,
                this.#charge.amount,
                this.signal,
            );
            if (charge.isErr()) {
                return { kind: "refused", refusal: charge.error };
            }
            this.#charge = charge.value;
            this.#settled = false;
        }
        return undefined;
    }

    /** Counts tokens that an engine generated and this instance did not receive. */
    #noteGenerated(generated: number | undefined): void {
        if (generated === undefined) {
            this.#useUnknown = true;
            return;
        }
        const received = this.#delivered.length - this.#deliveredBefore;
        this.#undelivered += Math.max(0, generated - received);
    }

    #mayNotStart(...grants: CapacityGrant[]): AttemptOutcome | undefined {
        if (this.signal.aborted) {
            return { kind: "refused", refusal: this.#refusalOfSignal() };
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

    #server(name: string) {
        return this.options.configuration.document.backendServers[name];
    }

    #settle(): void {
        if (!this.#settled) {
            this.options.limiter.settle(this.#charge, this.#tokensUsed());
        }
    }

    #tokensUsed(): number {
        if (!this.#mayHaveRun) {
            return 0;
        }
        return this.#useUnknown
            ? this.#charge.amount
            : this.job.promptTokens + this.#delivered.length + this.#undelivered;
    }

    #refusalOfSignal(): Refusal {
        const reason: unknown = this.signal.reason;
        if (reason instanceof Refusal) {
            return this.#refuse(reason.status, reason.reason, reason.message);
        }
        return this.#refuse(499, "caller-gone", "The caller is gone");
    }

    #refuse(
        status: number,
        reason: Refusal["reason"],
        message: string,
        retryAfterSeconds?: number,
    ): Refusal {
        const verdict = this.#mayHaveRun ? "may-have-run" : "not-run";
        return new Refusal(status, reason, verdict, message, retryAfterSeconds ? { retryAfterSeconds } : {});
    }
}
