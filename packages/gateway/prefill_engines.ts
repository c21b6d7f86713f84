import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { ExpectedSaving } from "../prompt_memory/mod.ts";
import { EngineChooser } from "../speeds/mod.ts";
import { prefillRouteName } from "./_prefill_route_name.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PrefillChoice } from "./prefill_choice.ts";
import { ServerChooser } from "./server_chooser.ts";

/** Speed of an engine, in prompt tokens per millisecond, that is assumed before the first measurement. */
const INITIAL_TOKENS_PER_MILLISECOND = 25;
/** Weight of the newest measurement. */
const SAMPLE_WEIGHT = 0.1;
/** Prompt tokens above which the time of a prefill depends on the engine more than on the network. */
const MINIMUM_SAMPLE_TOKENS = 1_000;
/** Measurements of the median speed before shorter times are taken for parts that an engine has kept. */
const MINIMUM_SAMPLES = 6;
/** Fraction of the expected time below which an engine has kept most of a prompt. */
const KEPT_TIME_FRACTION = 0.5;
/** Speed in prompt tokens per millisecond below which a prefill engine counts as failed, unless it is known to be slow. */
const SLOWEST_TOKENS_PER_MILLISECOND = 12;
/** Fraction of a slow engine's known speed below which it counts as failed. */
const SLOWEST_FRACTION = 0.5;
/** Speed in prompt tokens per millisecond below which every prefill engine counts as failed. */
const SLOWEST_KNOWN_TOKENS_PER_MILLISECOND = 3;
const NO_SAVING: ExpectedSaving = { belief: "none", tokens: 0 };
const NO_SAVINGS: ReadonlyMap<string, ExpectedSaving> = new Map();

/** A prefill that has ended. */
interface EndedPrefill {
    server: RegisteredServer;
    request: GatewayRequest;
    saving: ExpectedSaving;
    /** Prompt tokens that were queued before it. */
    queuedTokens: number;
    /** Whether nothing was queued at the engine. */
    idle: boolean;
    milliseconds: number;
}

/**
 * Chooses prefill engines by the expected time until a prompt has been computed, and learns from the times that it took.
 *
 * @example
 * ```ts
 * const choice = new PrefillEngines(context).choose(request, undefined, new Set());
 * ```
 */
export class PrefillEngines {
    readonly #serverChooser: ServerChooser;
    readonly #engineChooser = new EngineChooser();
    #tokensPerMillisecond = INITIAL_TOKENS_PER_MILLISECOND;
    #samples = 0;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#serverChooser = new ServerChooser(context);
    }

    /** Measured speed of the median prefill engine, in prompt tokens per millisecond. */
    get tokensPerMillisecond(): number {
        return this.#tokensPerMillisecond;
    }

    /**
     * Chooses the engine that is expected to have computed a prompt first.
     *
     * @param request The request.
     * @param target Engine that will fetch the result; undefined if it is not known yet.
     * @param tried Ids of engines that must not be used.
     * @returns The choice; undefined if no engine may be used.
     */
    choose(
        request: GatewayRequest,
        target: RegisteredServer | undefined,
        tried: ReadonlySet<string>,
    ): PrefillChoice | undefined {
        const { availability, rollouts, serverLoads, serverSubset, promptMemory } = this.context;
        const now = monotonicMilliseconds();
        const engines = availability.usableServers(request.service.name, "prefill");
        const eligible = engines.filter(server =>
            serverLoads.get(server.id).avoidedUntil <= now && !tried.has(server.id)
            && this.#serverChooser.admits(server)
        );
        const admitted = rollouts.select(request.service.name, prefillRouteName(request.route), eligible);
        const selected = availability.preferStaying(admitted);
        const preferred = serverSubset.narrow(selected, rollouts.alike(selected, engines));
        const savings = this.#samples < MINIMUM_SAMPLES
            ? NO_SAVINGS
            : promptMemory?.expectSavings(request.promptSections, preferred) ?? NO_SAVINGS;
        // A fast engine keeps its queue for longer than reports take, and would be overrun if less of it counted.
        const isUnequal = preferred.some(({ id }) => serverLoads.get(id).speedFactor !== 1);
        const candidates = preferred.map(server => {
            const saving = savings.get(server.id) ?? NO_SAVING;
            return {
                server,
                saving,
                queuedTokens: isUnequal ? serverLoads.get(server.id).total().prefillTokens : this.queuedTokens(server),
                failureRate: serverLoads.get(server.id).failureRate,
                isRemote: target !== undefined && server.failureDomain !== target.failureDomain,
                speedFactor: serverLoads.get(server.id).speedFactor,
                savedTokens: saving.tokens,
            };
        });
        const chosen = this.#engineChooser.choosePrefill(candidates, request.promptTokens);
        if (!chosen) {
            return undefined;
        }
        const { server, saving, queuedTokens } = chosen;
        const keeper = candidates.reduce((best, entry) => entry.savedTokens > best.savedTokens ? entry : best, chosen);
        const passedOver = keeper === chosen ? undefined : {
            engine: keeper.server.id,
            reason: keeper.failureRate > chosen.failureRate
                ? "failing" as const
                : keeper.speedFactor < chosen.speedFactor
                ? "slow" as const
                : keeper.queuedTokens > chosen.queuedTokens
                ? "queue" as const
                : "transfer" as const,
        };
        return { server, queuedTokens, saving, passedOver };
    }

    /**
     * Sums up the known prompt tokens of unfinished prefills at an engine.
     *
     * @param server The engine.
     * @returns The tokens.
     */
    queuedTokens(server: RegisteredServer): number {
        return this.context.serverLoads.get(server.id).total(this.context.peerLoadWeight()).prefillTokens;
    }

    /**
     * Returns the speed of an engine.
     *
     * @param server The engine.
     * @returns The speed in prompt tokens per millisecond.
     */
    speedOf(server: RegisteredServer): number {
        return this.#tokensPerMillisecond * this.context.serverLoads.get(server.id).speedFactor;
    }

    /**
     * Returns the speed below which an engine counts as failed.
     *
     * @param server The engine.
     * @returns The speed in prompt tokens per millisecond.
     */
    slowestSpeed(server: RegisteredServer): number {
        if (!this.context.engineSpeeds.isOn) {
            return SLOWEST_TOKENS_PER_MILLISECOND;
        }
        const known = Math.max(SLOWEST_KNOWN_TOKENS_PER_MILLISECOND, SLOWEST_FRACTION * this.speedOf(server));
        return Math.min(SLOWEST_TOKENS_PER_MILLISECOND, known);
    }

    /**
     * Learns from a prefill: the speed of its engine in comparison with the median, corrected for the prompts that were
     * queued before it; the speed of the median from engines that were idle; and what the engine had kept.
     *
     * @param ended The prefill.
     */
    learn(ended: EndedPrefill): void {
        const { server, request, saving, queuedTokens, idle, milliseconds } = ended;
        const { engineSpeeds, promptMemory, serverLoads } = this.context;
        const tokens = request.promptTokens;
        promptMemory?.recordKept(server, request.promptSections, request.service.engine?.memoryTokens ?? 0);
        if (tokens <= MINIMUM_SAMPLE_TOKENS || milliseconds <= 0) {
            return;
        }
        const isShort = milliseconds < KEPT_TIME_FRACTION * (queuedTokens + tokens) / this.speedOf(server);
        if (idle && this.#samples >= MINIMUM_SAMPLES) {
            promptMemory?.recordOutcome(saving.belief, isShort);
        }
        if (isShort && saving.belief !== "none") {
            // The time shows what the engine had kept, and not how fast it is.
            return;
        }
        const expectedMilliseconds = (queuedTokens + tokens) / this.#tokensPerMillisecond;
        // The more prompts were queued before it, the less is known of when they were finished.
        const weight = tokens / (queuedTokens + tokens);
        engineSpeeds.record(server, "prefill", Math.log(expectedMilliseconds / milliseconds), weight);
        if (idle) {
            this.#samples++;
            const median = tokens / milliseconds / serverLoads.get(server.id).speedFactor;
            this.#tokensPerMillisecond += SAMPLE_WEIGHT * (median - this.#tokensPerMillisecond);
        }
    }
}
