import { err, ok, type Result } from "neverthrow";
import { readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PrefillFailure } from "./prefill_failure.ts";
import type { PrefillHandle } from "./prefill_handle.ts";
import type { PrefillResult } from "./prefill_result.ts";
import { ServerChooser } from "./server_chooser.ts";

/** Cost, in prompt tokens, of a transfer to another failure domain when a prefill engine is chosen. */
const CROSS_DOMAIN_COST_TOKENS = 600;
/** Speed of an engine, in prompt tokens per millisecond, that is assumed before the first measurement. */
const INITIAL_TOKENS_PER_MILLISECOND = 25;
/** Weight of the newest measurement. */
const SAMPLE_WEIGHT = 0.1;
/** Prompt tokens above which the time of a prefill depends on the engine more than on the network. */
const MINIMUM_SAMPLE_TOKENS = 1_000;
/** Speed of a local prefill, as a fraction of a prefill engine's speed, since the engine decodes at the same time. */
const LOCAL_PREFILL_SPEED_FRACTION = 0.45;
/** Time in milliseconds that a local prefill must save, since the decode engine computes it beside its other work. */
const MINIMUM_LOCAL_PREFILL_GAIN_MILLISECONDS = 600;
const NO_SERVERS: ReadonlySet<string> = new Set();
/** Speed in prompt tokens per millisecond below which a prefill engine counts as failed. */
const SLOWEST_TOKENS_PER_MILLISECOND = 12;
/** Time in milliseconds that is added to the timeout of each prefill. */
const BASE_TIMEOUT_MILLISECONDS = 300;
/** Weight of an engine's failure rate in its cost. */
const FAILURE_PENALTY = 6;
const BODY_TIMEOUT_MILLISECONDS = 500;
const AVOID_MILLISECONDS = 800;
const MAXIMUM_ATTEMPTS = 3;
/** Time in milliseconds after which a reset shows that the engine still ran when it received the prompt. */
const MINIMUM_RUN_MILLISECONDS = 50;
const MAXIMUM_RESPONSE_BYTES = 65_536;
/** End of the names under which prefills are counted for the judgement of versions, beside decodes. */
const PREFILL_SUFFIX = ":prefill";

/**
 * Sends prompts to prefill engines.
 *
 * @example
 * ```ts
 * const prefilled = await new PrefillDispatcher(context).run(request, reservation.server, [], false);
 * ```
 */
export class PrefillDispatcher {
    readonly #chooser: ServerChooser;
    #tokensPerMillisecond = INITIAL_TOKENS_PER_MILLISECOND;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#chooser = new ServerChooser(context);
    }

    /** Measured speed of a prefill engine, in prompt tokens per millisecond. */
    get tokensPerMillisecond(): number {
        return this.#tokensPerMillisecond;
    }

    /**
     * Estimates the time until a prefill engine would have computed a prompt.
     *
     * @param request The request.
     * @returns The time in milliseconds; infinite if no prefill engine is available.
     */
    estimateMilliseconds(request: GatewayRequest): number {
        const server = this.#choose(request, undefined, NO_SERVERS);
        return server
            ? (this.#queuedTokens(server) + request.promptTokens) / this.#tokensPerMillisecond
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
        const tokens = this.#queuedTokens(server) + request.promptTokens;
        const localMilliseconds = tokens / (this.#tokensPerMillisecond * LOCAL_PREFILL_SPEED_FRACTION);
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
        let message = "No prefill engine can take the request";
        for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS && !request.signal.aborted; attempts++) {
            const server = this.#choose(request, target, tried);
            if (!server || ((attempts > 0 || repeated) && !this.context.retryBudget.trySpend(request.service.name))) {
                break;
            }
            tried.add(server.id);
            const startedAt = monotonicMilliseconds();
            const tokensBefore = this.#queuedTokens(server);
            const result = await this.#runOn(request, server, extraHeaders);
            this.context.logger.info("prefill ended", {
                request: request.id,
                engine: server.id,
                tokens: request.promptTokens,
                tokensBefore,
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

    #choose(
        request: GatewayRequest,
        target: RegisteredServer | undefined,
        tried: ReadonlySet<string>,
    ): RegisteredServer | undefined {
        const { availability, rollouts, serverLoads } = this.context;
        const now = monotonicMilliseconds();
        let best: RegisteredServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        const engines = availability.usableServers(request.service.name, "prefill");
        const eligible = engines.filter(server =>
            serverLoads.get(server.id).avoidedUntil <= now && !tried.has(server.id) && this.#chooser.admits(server)
        );
        const route = request.route.name + PREFILL_SUFFIX;
        const selected = availability.preferStaying(rollouts.select(request.service.name, route, eligible));
        for (const server of this.context.serverSubset.narrow(selected, rollouts.alike(selected, engines))) {
            const load = serverLoads.get(server.id);
            const transferCost = !target || server.failureDomain === target.failureDomain
                ? 0
                : CROSS_DOMAIN_COST_TOKENS;
            const cost = (this.#queuedTokens(server) + request.promptTokens) * (1 + FAILURE_PENALTY * load.failureRate)
                + transferCost
                + Math.random();
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Known prompt tokens of unfinished prefills at an engine. */
    #queuedTokens(server: RegisteredServer): number {
        return this.context.serverLoads.get(server.id).total(this.context.peerLoadWeight()).prefillTokens;
    }

    /** Time in milliseconds by which the reports of peers are older than in a small fleet. */
    #reportDelay(): number {
        return this.context.reportPeriodMilliseconds() * (1 - this.context.peerLoadWeight());
    }

    async #runOn(
        request: GatewayRequest,
        server: RegisteredServer,
        extraHeaders: string[],
    ): Promise<Result<PrefillHandle, string>> {
        const { headers, engineProtocol, rollouts, serverClient, serverLoads, metrics } = this.context;
        const load = serverLoads.get(server.id);
        const startedAt = monotonicMilliseconds();
        const routeName = request.route.name + PREFILL_SUFFIX;
        const idle = load.total().prefillTokens === 0;
        load.prefillTokens += request.promptTokens;
        // The timeout allows for prefills that peers have sent since their last reports.
        const timeout = BASE_TIMEOUT_MILLISECONDS + this.#reportDelay()
            + load.total().prefillTokens / SLOWEST_TOKENS_PER_MILLISECOND;
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
                    serverLoads.markTerminated(server.id);
                    this.context.crashRegistry.recordServerEnd(server.id);
                }
                return err(`The prefill engine answered with status ${response.value.status}`);
            }
            const milliseconds = monotonicMilliseconds() - startedAt;
            metrics.observe("prefill", milliseconds);
            rollouts.record(server, routeName, milliseconds);
            load.recordSuccess();
            if (idle && request.promptTokens > MINIMUM_SAMPLE_TOKENS) {
                this.#tokensPerMillisecond += SAMPLE_WEIGHT
                    * (request.promptTokens / milliseconds - this.#tokensPerMillisecond);
            }
            return ok(handle);
        }
        finally {
            load.prefillTokens -= request.promptTokens;
            load.active--;
        }
    }
}
