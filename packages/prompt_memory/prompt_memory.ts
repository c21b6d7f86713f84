import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { PromptSection } from "../prompt_parts/mod.ts";
import { KeptParts } from "./_kept_parts.ts";
import { PartPopularity } from "./_part_popularity.ts";
import { rankEngines } from "./_rank_engines.ts";
import type { ExpectedSaving } from "./expected_saving.ts";
import type { KeepingBelief } from "./keeping_belief.ts";

/** How often each belief is assumed to be true before any run has shown it. */
const INITIAL_CONFIDENCE: Readonly<Record<KeepingBelief, number>> = { sent: 0.25, first: 0.02, second: 0.01, none: 0 };
/** Runs that the initial confidence counts for. */
const CREDITED_RUNS = 4;
/** Least weight of the newest run. */
const NEWEST_WEIGHT = 0.05;
/** Confidence that is left to a false belief, which decides only between equal engines, so that it is tried again. */
const LEAST_CONFIDENCE = 0.01;
/** Fraction of a prompt below which what an engine keeps is not worth a detour, such as a common beginning. */
const LEAST_SAVED_FRACTION = 0.2;
/** Time in milliseconds after an engine's restart in which no rank says that it keeps anything. */
const RESTART_MILLISECONDS = 5_000;
/** Confidence from which the ranks show that sessions come again. */
const PROVEN_CONFIDENCE = 0.2;
/** Largest number of engines whose parts are recorded. */
const MAXIMUM_ENGINES = 256;

interface EngineRecord {
    startedAt: number;
    /** Monotonic time in milliseconds at which another process of the engine was noticed. */
    restartedAt: number;
    kept: KeptParts;
}

/**
 * What engines are believed to keep of prompts, and how many tokens that is expected to save. Instances agree on the
 * keepers of a session without messages, since each ranks the engines for it in the same way; how much a rank is worth is
 * learned from runs.
 *
 * @example
 * ```ts
 * const memory = new PromptMemory(() => 3);
 * memory.recordPrompt("models", sections);
 * memory.expectSavings(sections, engines).get("engine-1")?.tokens;
 * ```
 */
export class PromptMemory {
    readonly #popularity = new PartPopularity();
    readonly #engines = new Map<string, EngineRecord>();
    readonly #confidence = { ...INITIAL_CONFIDENCE };
    readonly #runs: Record<KeepingBelief, number> = { sent: 0, first: 0, second: 0, none: 0 };

    /**
     * @param instanceCount Returns the number of instances that send prompts to the engines.
     */
    constructor(private readonly instanceCount: () => number) {}

    /**
     * Returns how often a belief has been true, beyond what engines keep that are not believed to.
     *
     * @param belief The belief.
     * @returns A number from 0 to 1.
     */
    confidenceOf(belief: KeepingBelief): number {
        return belief === "none" ? 0 : Math.max(LEAST_CONFIDENCE, this.#confidence[belief] - this.#confidence.none);
    }

    /**
     * Records that a prompt was received.
     *
     * @param service Name of the service that runs it.
     * @param sections Parts of the prompt in order.
     */
    recordPrompt(service: string, sections: readonly PromptSection[]): void {
        if (sections.length > 0) {
            this.#popularity.record(service, sections);
        }
    }

    /**
     * Records that an engine has read or fetched a prompt.
     *
     * @param server The engine.
     * @param sections Parts of the prompt in order.
     * @param memoryTokens Memory of the engine in tokens, which the prompts of all instances share.
     */
    recordKept(server: RegisteredServer, sections: readonly PromptSection[], memoryTokens: number): void {
        if (sections.length > 0) {
            const capacity = memoryTokens / Math.max(1, this.instanceCount());
            this.#recordOf(server, true)?.kept.record(sections, capacity, monotonicMilliseconds());
        }
    }

    /**
     * Records whether an engine had kept most of a prompt.
     *
     * @param belief What had been believed.
     * @param isKept Whether it had.
     */
    recordOutcome(belief: KeepingBelief, isKept: boolean): void {
        const runs = ++this.#runs[belief];
        const weight = Math.max(NEWEST_WEIGHT, 1 / (CREDITED_RUNS + runs));
        this.#confidence[belief] += weight * (Number(isKept) - this.#confidence[belief]);
    }

    /**
     * Estimates what engines save of a prompt.
     *
     * @param sections Parts of the prompt in order.
     * @param engines Engines of one service and stage that may get it.
     * @returns The savings by engine id; engines that are expected to save nothing are left out.
     */
    expectSavings(
        sections: readonly PromptSection[],
        engines: readonly RegisteredServer[],
    ): ReadonlyMap<string, ExpectedSaving> {
        const savings = new Map<string, ExpectedSaving>();
        const total = sections.reduce((sum, { tokens }) => sum + tokens, 0);
        if (total === 0 || engines.length < 2) {
            return savings;
        }
        const now = monotonicMilliseconds();
        const service = engines[0]?.service ?? "";
        const sessionKey = this.#popularity.findSessionKey(service, sections);
        const ranks = sessionKey === undefined ? {} : rankEngines(sessionKey, engines.map(({ id }) => id));
        for (const server of engines) {
            const saving = this.#expect(server, sections, total, ranks, now);
            if (saving.tokens > 0) {
                savings.set(server.id, saving);
            }
        }
        return savings;
    }

    /**
     * Estimates which decode engines keep a prompt already. Ranks count only where they have proven true.
     *
     * @param sections Parts of the prompt in order.
     * @param engines Decode engines with room.
     * @returns The savings by engine id; engines that are expected to save nothing are left out.
     */
    expectFetched(
        sections: readonly PromptSection[],
        engines: readonly RegisteredServer[],
    ): ReadonlyMap<string, ExpectedSaving> {
        const savings = new Map(this.expectSavings(sections, engines));
        if (this.confidenceOf("first") < PROVEN_CONFIDENCE) {
            savings.forEach(({ belief }, id) => belief === "sent" || savings.delete(id));
        }
        return savings;
    }

    #expect(
        server: RegisteredServer,
        sections: readonly PromptSection[],
        total: number,
        ranks: { first?: string; second?: string; },
        now: number,
    ): ExpectedSaving {
        const record = this.#recordOf(server, false);
        const kept = record?.kept.countBeginning(sections, now) ?? 0;
        const sentTokens = kept < LEAST_SAVED_FRACTION * total ? 0 : kept * this.confidenceOf("sent");
        const belief = server.id === ranks.first ? "first" : server.id === ranks.second ? "second" : "none";
        const isNew = record !== undefined && now - record.restartedAt < RESTART_MILLISECONDS;
        const rankTokens = isNew ? 0 : total * this.confidenceOf(belief);
        return sentTokens > rankTokens
            ? { belief: "sent", tokens: sentTokens }
            : { belief, tokens: rankTokens };
    }

    /** Record of an engine's present process; what an earlier one kept is forgotten. */
    #recordOf({ id, startedAt }: RegisteredServer, create: boolean): EngineRecord | undefined {
        const known = this.#engines.get(id);
        if (known?.startedAt === startedAt || !known && !create) {
            return known;
        }
        const restartedAt = known ? monotonicMilliseconds() : Number.NEGATIVE_INFINITY;
        const [oldest] = this.#engines.keys();
        if (!known && oldest !== undefined && this.#engines.size >= MAXIMUM_ENGINES) {
            this.#engines.delete(oldest);
        }
        const record = { startedAt, restartedAt, kept: new KeptParts() };
        this.#engines.set(id, record);
        return record;
    }
}
