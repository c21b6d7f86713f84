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

/** Prompt tokens that outweigh a transfer between failure domains when a prefill engine is chosen. */
const FAR_TOKENS = 600;
/** Prompt tokens that an engine is taken to compute in a millisecond before it was measured. */
const INITIAL_TOKENS_PER_MILLISECOND = 25;
/** Weight of the newest measurement. */
const SAMPLE_WEIGHT = 0.1;
/** Prompt tokens from which on a prefill tells the engine's speed rather than the network's. */
const SAMPLE_TOKENS = 1_000;
/** Part of a prefill engine's speed at which a decode engine computes a prompt beside its other work. */
const DIRECT_SPEED_SHARE = 0.45;
/** Time in milliseconds that must be gained for a decode engine to compute a prompt beside its other work. */
const DIRECT_PENALTY_MILLISECONDS = 600;
const NONE: ReadonlySet<string> = new Set();
/** Prompt tokens in a millisecond below which a prefill engine counts as failed. */
const SLOWEST_TOKENS_PER_MILLISECOND = 12;
/** Time in milliseconds that a prefill may take besides. */
const TIMEOUT_MILLISECONDS = 300;
/** Weight of the part of an engine's requests that fail, in its expected time. */
const LOSS_PENALTY = 6;
const BODY_MILLISECONDS = 500;
const AVOID_MILLISECONDS = 800;
const MAXIMUM_TRIES = 3;
const MAXIMUM_ANSWER_BYTES = 65_536;

/**
 * Has prompts computed by prefill engines.
 *
 * @example
 * ```ts
 * const prefilled = await new PrefillStage(services).run(request, grant.server, []);
 * ```
 */
export class PrefillDispatcher {
    readonly #chooser: ServerChooser;
    #tokensPerMillisecond = INITIAL_TOKENS_PER_MILLISECOND;

    /**
     * @param services What the gateway works with.
     */
    constructor(private readonly services: GatewayContext) {
        this.#chooser = new ServerChooser(services);
    }

    /** Prompt tokens that one prefill engine computes in a millisecond, as measured. */
    get tokensPerMillisecond(): number {
        return this.#tokensPerMillisecond;
    }

    /**
     * Estimates when a prefill engine would have computed a prompt.
     *
     * @param request The request.
     * @returns Milliseconds from now; infinite when no prefill engine may be used.
     */
    estimateMilliseconds(request: GatewayRequest): number {
        const server = this.#choose(request, undefined, NONE);
        return server
            ? (this.#queued(server) + request.promptTokens) / this.#tokensPerMillisecond
            : Number.POSITIVE_INFINITY;
    }

    /**
     * Tells whether a decode engine should compute a prompt by itself, since prefill engines are far behind or lacking.
     *
     * @param request The request.
     * @param server The decode engine.
     * @param estimate Milliseconds until a prefill engine would have computed it. Default: as estimated now.
     * @returns Whether it should.
     */
    isLocalPrefillFaster(
        request: GatewayRequest,
        server: RegisteredServer,
        estimate = this.estimateMilliseconds(request),
    ): boolean {
        const tokens = this.#queued(server) + request.promptTokens;
        const direct = tokens / (this.#tokensPerMillisecond * DIRECT_SPEED_SHARE);
        return estimate > direct + DIRECT_PENALTY_MILLISECONDS;
    }

    /**
     * Has a prompt computed.
     *
     * @param request The request.
     * @param target Engine that will fetch the result.
     * @param extraHeaders Headers besides those of the request, names and values by turns.
     * @param repeated Whether the prompt was computed before.
     * @returns The result, or why there is none.
     */
    async run(
        request: GatewayRequest,
        target: RegisteredServer,
        extraHeaders: string[],
        repeated: boolean,
    ): Promise<Result<PrefillResult, PrefillFailure>> {
        const tried = new Set<string>();
        let message = "No prefill engine can take the request";
        for (let tries = 0; tries < MAXIMUM_TRIES && !request.signal.aborted; tries++) {
            const server = this.#choose(request, target, tried);
            if (!server || ((tries > 0 || repeated) && !this.services.retries.trySpend(request.service.name))) {
                break;
            }
            tried.add(server.id);
            const startedAt = monotonicMilliseconds();
            const tokensBefore = this.#queued(server);
            const result = await this.#runAt(request, server, extraHeaders);
            this.services.logger.info("prefill ended", {
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
        const { directory, serverLoads: book } = this.services;
        const now = monotonicMilliseconds();
        let best: RegisteredServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        const engines = directory.usableServers(request.service.name).filter(({ stage }) => stage === "prefill");
        const eligible = engines.filter(server =>
            book.get(server.id).avoidedUntil <= now && !tried.has(server.id) && this.#chooser.admits(server)
        );
        for (const server of this.services.subset.narrow(eligible, engines.length)) {
            const load = book.get(server.id);
            const distance = !target || server.failureDomain === target.failureDomain ? 0 : FAR_TOKENS;
            const cost = (this.#queued(server) + request.promptTokens) * (1 + LOSS_PENALTY * load.failureRate)
                + distance
                + Math.random();
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Prompt tokens that wait at an engine, as far as is known. */
    #queued(server: RegisteredServer): number {
        return this.services.serverLoads.get(server.id).total(this.services.peerLoadWeight()).prefillTokens;
    }

    /** Time in milliseconds by which peers' reports are older than in a small fleet. */
    #staleness(): number {
        return this.services.reportPeriodMilliseconds() * (1 - this.services.peerLoadWeight());
    }

    async #runAt(
        request: GatewayRequest,
        server: RegisteredServer,
        extraHeaders: string[],
    ): Promise<Result<PrefillHandle, string>> {
        const { headers, engineProtocol: engines, connections, serverLoads: book, metrics } = this.services;
        const load = book.get(server.id);
        const startedAt = monotonicMilliseconds();
        const alone = load.total().prefillTokens === 0;
        load.prefillTokens += request.promptTokens;
        // What peers have sent since their last reports is not known.
        const expected = TIMEOUT_MILLISECONDS + this.#staleness()
            + load.total().prefillTokens / SLOWEST_TOKENS_PER_MILLISECOND;
        load.active++;
        load.recordSend();
        try {
            const answer = await connections.send({
                address: server.address,
                method: request.method,
                path: request.path,
                headers: [
                    ...backendHeaders(request, server, headers),
                    headers.stage,
                    engines.prefillStage,
                    ...extraHeaders,
                ],
                body: request.body.length > 0 ? request.body : undefined,
                timeoutMilliseconds: Math.min(expected, request.deadline - startedAt),
                signal: request.signal,
                correlation: { header: headers.requestId, value: request.id },
            });
            if (answer.isErr()) {
                metrics.increment("prefills_total", { result: answer.error.kind });
                if (answer.error.kind === "reset") {
                    this.services.crashes.suspect(request, server.id);
                }
                if (answer.error.kind !== "aborted") {
                    load.recordFailure();
                    load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
                }
                return err(answer.error.message);
            }
            const body = await readResponseBody(answer.value, BODY_MILLISECONDS, MAXIMUM_ANSWER_BYTES);
            const handle = answer.value.status === 200 && body
                ? engines.parsePrefill(body.toString("utf8"))
                : undefined;
            metrics.increment("prefills_total", { result: handle ? "done" : String(answer.value.status) });
            if (!handle) {
                load.recordFailure();
                load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
                if (answer.value.status === 421) {
                    book.markGone(server.id);
                    this.services.crashes.recordServerEnd(server.id);
                }
                return err(`The prefill engine answered with status ${answer.value.status}`);
            }
            const milliseconds = monotonicMilliseconds() - startedAt;
            metrics.observe("prefill", milliseconds);
            load.recordSuccess();
            if (alone && request.promptTokens > SAMPLE_TOKENS) {
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
