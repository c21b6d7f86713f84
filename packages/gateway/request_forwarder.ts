import { createStreamRefusal } from "./_create_stream_refusal.ts";
import { mayRunAgain } from "./_may_run_again.ts";
import { DecodeQueue } from "./decode_queue.ts";
import { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRefusalReason } from "./gateway_refusal_reason.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { PeerRelay } from "./peer_relay.ts";
import { PlainForwarder } from "./plain_forwarder.ts";
import { PrefillDispatcher } from "./prefill_dispatcher.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import { refuseBlockedPart } from "./refuse_blocked_part.ts";
import { sendRefusal } from "./send_refusal.ts";
import { StreamForwarder } from "./stream_forwarder.ts";

/** Reason with which calls to servers end once this instance is isolated. */
const CUT_OFF = "isolated";
/** Reasons of refusals that isolation explains. */
const REASONS_OF_ISOLATION: ReadonlySet<GatewayRefusalReason> = new Set([
    "no-backend-server",
    "no-capacity",
    "retry-budget-spent",
    "backend-failed",
    // Engines that can't be reached don't say what they keep.
    "stream-version-unknown",
]);

/**
 * Forwards admitted requests, to backend servers or to another instance, and charges them to limits where they are sent to
 * servers.
 *
 * @example
 * ```ts
 * const forwarder = new RequestForwarder(context, rateLimiter);
 * await forwarder.forward(request);
 * forwarder.close();
 * ```
 */
export class RequestForwarder {
    readonly #decodeQueue: DecodeQueue;
    readonly #plainForwarder: PlainForwarder;
    readonly #streamForwarder: StreamForwarder;
    readonly #peerRelay: PeerRelay;
    /** Abort the calls to servers of requests that may run again. */
    readonly #aborts = new Map<GatewayRequest, AbortController>();

    /**
     * @param context Shared objects of the gateway.
     * @param rateLimiter Rate limits of organisations.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly rateLimiter: RateLimiter,
    ) {
        const engineClient = new EngineClient(context);
        const prefillDispatcher = new PrefillDispatcher(context);
        this.#peerRelay = new PeerRelay(context);
        this.#decodeQueue = new DecodeQueue(context, engineClient, prefillDispatcher, this.#peerRelay);
        this.#plainForwarder = new PlainForwarder(context);
        this.#streamForwarder = new StreamForwarder(
            context,
            this.#decodeQueue,
            engineClient,
            prefillDispatcher,
            this.#peerRelay,
        );
        context.reachability.onChange(isIsolated => this.#applyChange(isIsolated));
        context.metrics.gauge("decode_queue_length", () => this.#decodeQueue.length);
    }

    /**
     * Forwards a request and sends the response to its caller.
     *
     * @param request The request, whose body has been read.
     * @returns A promise that resolves once the response has ended.
     */
    async forward(request: GatewayRequest): Promise<void> {
        if (request.isRelayed) {
            this.context.metrics.increment("relayed_requests_received_total");
            if (this.context.reachability.isIsolated) {
                const message = "This instance does not reach servers either";
                sendRefusal(request, createStreamRefusal("no-backend-server", "not-run", message), this.context);
                return;
            }
        }
        else if (await this.#peerRelay.pass(request, "isolated")) {
            return;
        }
        await this.#forwardHere(request);
    }

    /** Refuses the waiting requests and closes the connections to other instances. */
    close(): void {
        this.#decodeQueue.close();
        this.#peerRelay.close();
    }

    async #forwardHere(request: GatewayRequest): Promise<void> {
        const { retryBudget, metrics } = this.context;
        if (this.context.crashRegistry.isBlocked(request)) {
            const message = "Servers have crashed each time that the request ran";
            sendRefusal(request, {
                status: 502,
                reason: "request-crashes-servers",
                verdict: "may-have-run",
                message,
            }, this.context);
            return;
        }
        const partAdmission = this.context.promptParts.admit(request.promptParts);
        if (partAdmission === "blocked") {
            sendRefusal(request, refuseBlockedPart(), this.context);
            return;
        }
        request.isProbe = partAdmission === "probe";
        const charge = this.rateLimiter.charge(request);
        if (charge.isErr()) {
            sendRefusal(request, charge.error, this.context);
            return;
        }
        const takeBack = retryBudget.recordRequest(request.service.name);
        metrics.increment("gateway_requests_total", { kind: request.route.kind });
        const { refusal, isCutOff } = await this.#send(request);
        if (!refusal) {
            return;
        }
        if (refusal.verdict === "not-run") {
            charge.value.refund();
        }
        if (isCutOff || await this.#mayPassOn(request, refusal)) {
            if (refusal.verdict === "not-run") {
                takeBack();
            }
            if (await this.#peerRelay.pass(request, refusal.reason)) {
                return;
            }
        }
        sendRefusal(request, refusal, this.context);
    }

    /**
     * Sends a request to servers. The calls of one that may run again end once this instance is found to be isolated, if a
     * peer may take it.
     */
    async #send(request: GatewayRequest): Promise<{ refusal: GatewayRefusal | undefined; isCutOff: boolean; }> {
        const forwarder = request.service.engine ? this.#streamForwarder : this.#plainForwarder;
        if (!mayRunAgain(request)) {
            return { refusal: await forwarder.forward(request), isCutOff: false };
        }
        const abort = new AbortController();
        const end = () => abort.abort(request.signal.reason);
        if (request.signal.aborted) {
            end();
        }
        request.signal.addEventListener("abort", end, { once: true });
        this.#aborts.set(request, abort);
        try {
            const refusal = await forwarder.forward({ ...request, signal: abort.signal });
            const isCutOff = abort.signal.reason === CUT_OFF;
            return { refusal: refusal && isCutOff ? cutOffRefusal(refusal) : refusal, isCutOff };
        }
        finally {
            this.#aborts.delete(request);
            request.signal.removeEventListener("abort", end);
        }
    }

    #applyChange(isIsolated: boolean): void {
        this.#decodeQueue.dispatch();
        if (!isIsolated) {
            this.#peerRelay.closeIdle();
            return;
        }
        for (const [request, abort] of this.#aborts) {
            const hasBegun = request.response.headersSent;
            if (
                !hasBegun && this.#peerRelay.canPass(request) && this.context.retryBudget.trySpend(request.service.name)
            ) {
                abort.abort(CUT_OFF);
            }
        }
    }

    async #mayPassOn(request: GatewayRequest, refusal: GatewayRefusal): Promise<boolean> {
        if (!REASONS_OF_ISOLATION.has(refusal.reason) || !this.#peerRelay.hasPeer(request)) {
            return false;
        }
        // What has ended the sends may be the isolation that is being found out.
        await Promise.race([this.context.reachability.settle(), whenAborted(request.signal)]);
        return this.#peerRelay.canPass(request) && (refusal.verdict === "not-run"
            || (mayRunAgain(request) && this.context.retryBudget.trySpend(request.service.name)));
    }
}

/** Creates the refusal of a request whose calls were ended, unlike one that has run out of time. */
function cutOffRefusal({ verdict }: GatewayRefusal): GatewayRefusal {
    const message = "The links to the servers are lost";
    return createStreamRefusal(verdict === "not-run" ? "no-backend-server" : "backend-failed", verdict, message);
}

function whenAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
}
