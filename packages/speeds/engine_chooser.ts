import type { DecodeCandidate } from "./decode_candidate.ts";
import type { PrefillCandidate } from "./prefill_candidate.ts";

/** Weight of an engine's failure rate in its cost. */
const FAILURE_PENALTY = 6;
/** Cost, in prompt tokens, of a transfer to another failure domain. */
const CROSS_DOMAIN_COST_TOKENS = 600;
/** Fraction of the highest preference by which decode engines may differ and still count as equal. */
const EQUAL_PREFERENCE_FRACTION = 0.05;

/**
 * Chooses engines by expected time. Engines of equal speed that keep nothing of the prompt are compared by their queued
 * tokens or their free memory alone.
 *
 * @example
 * ```ts
 * const chooser = new EngineChooser();
 * chooser.choosePrefill(candidates, 3_200)?.server;
 * ```
 */
export class EngineChooser {
    /**
     * @param random Returns numbers from 0 to 1 that decide between prefill engines of equal cost.
     */
    constructor(private readonly random: () => number = Math.random) {}

    /**
     * Chooses the prefill engine with the least expected time until the prompt has been computed and transferred.
     *
     * @param candidates Engines that may be used.
     * @param promptTokens Tokens of the prompt.
     * @returns The chosen candidate; undefined if there is none.
     */
    choosePrefill<Candidate extends PrefillCandidate>(
        candidates: readonly Candidate[],
        promptTokens: number,
    ): Candidate | undefined {
        let best: Candidate | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const candidate of candidates) {
            const tokens = candidate.queuedTokens + Math.max(0, promptTokens - candidate.savedTokens);
            const cost = tokens / candidate.speedFactor * (1 + FAILURE_PENALTY * candidate.failureRate)
                + (candidate.isRemote ? CROSS_DOMAIN_COST_TOKENS : 0)
                + this.random();
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Chooses the decode engine with the most free memory in proportion to its speed; of those that are nearly equal, the
     * one that keeps most of the prompt.
     *
     * @param candidates Engines with room for the request.
     * @returns The chosen candidate; undefined if there is none with free memory.
     */
    chooseDecode<Candidate extends DecodeCandidate>(candidates: readonly Candidate[]): Candidate | undefined {
        let best: Candidate | undefined;
        let highest = 0;
        for (const candidate of candidates) {
            const preference = preferenceOf(candidate);
            if (preference > highest) {
                best = candidate;
                highest = preference;
            }
        }
        const lowestEqual = highest * (1 - EQUAL_PREFERENCE_FRACTION);
        let savedTokens = best?.savedTokens ?? 0;
        for (const candidate of candidates) {
            if (candidate.savedTokens > savedTokens && preferenceOf(candidate) >= lowestEqual) {
                best = candidate;
                savedTokens = candidate.savedTokens;
            }
        }
        return best;
    }
}

function preferenceOf({ freeTokens, failureRate, speedFactor }: DecodeCandidate): number {
    return freeTokens * speedFactor / (1 + FAILURE_PENALTY * failureRate);
}
