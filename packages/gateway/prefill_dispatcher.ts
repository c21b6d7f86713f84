import { err, ok, type Result } from "neverthrow";
import { readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { prefillRouteName } from "./_prefill_route_name.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PrefillChoice } from "./prefill_choice.ts";
import { PrefillEngines } from "./prefill_engines.ts";
import type { PrefillFailure } from "./prefill_failure.ts";
import type { PrefillHandle } from "./prefill_handle.ts";
import type { PrefillResult } from "./prefill_result.ts";

/** Speed of a local prefill, as a fraction of a prefill engine's speed, since the engine decodes at the same time. */
const LOCAL_PREFILL_SPEED_FRACTION = 0.45;
/** Time in milliseconds that a local prefill must save, since the decode engine computes it beside its other work. */
const MINIMUM_LOCAL_PREFILL_GAIN_MILLISECONDS = 600;
const NO_SERVERS: ReadonlySet<string> = new Set();
/** Time in milliseconds that is added to the timeout of each prefill. */
const BASE_TIMEOUT_MILLISECONDS = 300;
const BODY_TIMEOUT_MILLISECONDS = 500;
const AVOID_MILLISECONDS = 800;
const MAXIMUM_ATTEMPTS = 3;
/** Time in milliseconds after which a reset shows that the engine still ran when it received the prompt. */
const MINIMUM_RUN_MILLISECONDS = 50;
const MAXIMUM_RESPONSE_BYTES = 65_536;

/**
 * Sends prompts to prefill engines.
 *
 * @example
 * ```ts
 * const prefilled = await new PrefillDispatcher(context).run(request, reservation.server, [], false);
 * ```
 */
export class PrefillDispatcher {
    readonly #engines: PrefillEngines;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#engines = new PrefillEngines(context);
    }

    /** Measured speed of the median prefill engine, in prompt tokens per millisecond. */
    get tokensPerMillisecond(): number {
        return this.#engines.tokensPerMillisecond;
    }

    /**
     * Estimates the time until a prefill engine would have computed a prompt.
     *
     * @param request The request.
     * @returns The time in milliseconds; infinite if no prefill engine is available.
     */
    estimateMilliseconds(request: GatewayRequest): number {
        const choice = this.#engines.choose(request, undefined, NO_SERVERS);
        // Only the wait depends on the engine, so that callers can tell it from the prefill itself.
        return choice
            ? choice.queuedTokens / this.#engines.speedOf(choice.server)
                + request.promptTokens / this.tokensPerMillisecond
            : Number.POSITIVE_INFINITY;
    }

    /**
     * Returns whether a local prefill on a decode engine is faster, since prefill engines are overloaded or missing.
     *
     * @param request The request.
     * @param server The decode engine.
     * @param estimate Milliseconds until a prefill engine would have computed the prompt. Default: a new estimate.
     * @returns Whether it is.
     */
    isLocalPrefillFaster(
        request: GatewayRequest,
        server: RegisteredServer,
        estimate = this.estimateMilliseconds(request),
    ): boolean {
        const tokens = this.#engines.queuedTokens(server) + request.promptTokens;
        const localMilliseconds = tokens / (this.#engines.speedOf(server) * LOCAL_PREFILL_SPEED_FRACTION);
        return estimate > localMilliseconds + MINIMUM_LOCAL_PREFILL_GAIN_MILLISECONDS;
    }

    /**
     * Has a prompt computed by a prefill engine.
     *
     * @param request The request.
     * @param target Engine that will fetch the result.
     * @param extraHeaders Additional headers: alternating names and values.
     * @param repeated Whether a prefill of the request was attempted before.
     * @returns The prefill result, or why there is none.
     */
    async run(
        request: GatewayRequest,
        target: RegisteredServer,
        extraHeaders: string[],
        repeated: boolean,
    ): Promise<Result<PrefillResult, PrefillFailure>> {
        const tried = new Set<string>();
        this.context.promptMemory?.recordPrompt(request.service.name, request.promptSections);
        let message = "No prefill engine can take the request";
        for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS && !request.signal.aborted; attempts++) {
            const choice = this.#engines.choose(request, target, tried);
            if (!choice || ((attempts > 0 || repeated) && !this.context.retryBudget.trySpend(request.service.name))) {
                break;
            }
            const { server, saving, passedOver } = choice;
            tried.add(server.id);
            const startedAt = monotonicMilliseconds();
            const tokensBefore = choice.queuedTokens;
            this.#countKeepers(choice);
            const result = await this.#runOn(request, choice, extraHeaders);
            this.context.logger.info("prefill ended", {
                request: request.id,
                engine: server.id,
                tokens: request.promptTokens,
                tokensBefore: Math.round(tokensBefore),
                ...saving.belief === "none" ? {} : { expectedSaved: Math.round(saving.tokens), belief: saving.belief },
                ...passedOver ? { keeper: passedOver.engine, passedOver: passedOver.reason } : {},
                speedFactor: Number(this.context.serverLoads.get(server.id).speedFactor.toFixed(2)),
                milliseconds: Math.round(monotonicMilliseconds() - startedAt),
                outcome: result.isOk() ? "done" : result.error,
            });
            if (result.isOk()) {
                return ok({ server, handle: result.value });
            }
            message = result.error;
        }
        return err({ message, sent: tried.size > 0 });
    }

    #countKeepers({ saving, passedOver }: PrefillChoice): void {
        const { metrics } = this.context;
        if (saving.belief !== "none") {
            metrics.increment("prompt_keepers_total", { result: "chosen", belief: saving.belief });
            metrics.increment("prompt_tokens_expected_saved_total", {}, Math.round(saving.tokens));
        }
        if (passedOver) {
            metrics.increment("prompt_keepers_total", { result: "passed-over", reason: passedOver.reason });
        }
    }

    /** Time in milliseconds by which the reports of peers are older than in a small fleet. */
    #reportDelay(): number {
        return this.context.reportPeriodMilliseconds() * (1 - this.context.peerLoadWeight());
    }

    async #runOn(
        request: GatewayRequest,
        { server, saving }: PrefillChoice,
        extraHeaders: string[],
    ): Promise<Result<PrefillHandle, string>> {
        const { headers, engineProtocol, rollouts, serverClient, serverLoads, metrics } = this.context;
        const load = serverLoads.get(server.id);
        const startedAt = monotonicMilliseconds();
        const queuedTokens = this.#engines.queuedTokens(server);
        const routeName = prefillRouteName(request.route);
        const idle = load.total().prefillTokens === 0;
        load.prefillTokens += request.promptTokens;
        // The timeout allows for prefills that peers have sent since their last reports.
        const timeout = BASE_TIMEOUT_MILLISECONDS + this.#reportDelay()
            + load.total().prefillTokens / this.#engines.slowestSpeed(server);
        load.active++;
        load.recordSend();
        rollouts.count(server, routeName);
        try {
            const response = await serverClient.send(server, {
                method: request.method,
                path: request.path,
                headers: [
                    ...backendHeaders(request, server, headers),
                    headers.stage,
                    engineProtocol.prefillStage,
                    ...extraHeaders,
                ],
                body: request.body.length > 0 ? request.body : undefined,
                timeoutMilliseconds: Math.min(timeout, request.deadline - startedAt),
                signal: request.signal,
                correlation: { header: headers.requestId, value: request.id },
            });
            if (response.isErr()) {
                metrics.increment("prefills_total", { result: response.error.kind });
                if (response.error.kind === "reset") {
                    // A sooner reset may come from an engine that had ended before the request was sent.
                    const hasBegun = monotonicMilliseconds() - startedAt > MINIMUM_RUN_MILLISECONDS;
                    const run = hasBegun ? { aliveAt: startedAt, parts: request.promptParts } : undefined;
                    this.context.crashRegistry.recordBrokenConnection(request, server, run);
                    this.context.serverEndProbe.start(server);
                }
                if (response.error.kind !== "aborted") {
                    rollouts.recordFault(server, routeName, response.error);
                    load.recordFailure();
                    load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
                }
                return err(response.error.message);
            }
            const body = await readResponseBody(response.value, BODY_TIMEOUT_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
            const handle = response.value.status === 200 && body
                ? engineProtocol.parsePrefill(body.toString("utf8"))
                : undefined;
            metrics.increment("prefills_total", { result: handle ? "done" : String(response.value.status) });
            if (!handle) {
                if (response.value.status !== 421 && response.value.headers[headers.notRun] === undefined) {
                    rollouts.record(server, routeName, undefined);
                }
                load.recordFailure();
                load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
                if (response.value.status === 421) {
                    serverLoads.markTerminated(server.id, server.startedAt);
                    this.context.crashRegistry.recordServerEnd(server.id, server.startedAt);
                }
                return err(`The prefill engine answered with status ${response.value.status}`);
            }
            const milliseconds = monotonicMilliseconds() - startedAt;
            metrics.observe("prefill", milliseconds);
            rollouts.record(server, routeName, milliseconds);
            load.recordSuccess();
            this.#engines.learn({ server, request, saving, queuedTokens, idle, milliseconds });
            const { promptTokens, service } = request;
            this.context.stageWork?.recordPrefill(
                service.name,
                { promptTokens, milliseconds, isIdle: idle },
                monotonicMilliseconds(),
            );
            return ok(handle);
        }
        finally {
            load.prefillTokens -= request.promptTokens;
            load.active--;
        }
    }
}
