import type { EngineStage } from "../directory/mod.ts";

/** Part of the engines of a service that compute prompts while nothing is known of the traffic. */
const PREFILL_SHARE = 0.24;
/** Part of the decode memory in use below which nothing speaks against a change. */
const IDLE_FILL = 0.02;
/** Part of the decode memory in use above which decode engines are needed most. */
const BUSY_FILL = 0.6;
/** Prompt tokens under way at each prefill engine above which another one is needed. */
const CROWDED_TOKENS = 9_000;
/** Time in milliseconds for which a change must be wanted under load, since a crashed engine comes back. */
const SUSTAINED_MILLISECONDS = 5_000;
/** Time in milliseconds for which a change must be wanted while there is no load, since engines register one by one. */
const SETTLED_MILLISECONDS = 1_500;
/** Engines beyond their part that go on computing prompts under load; a change costs an engine for seconds. */
const TOLERATED_ENGINES = 0.7;

/** How the engines of a service are divided, and their load. */
interface StageDivision {
    engines: number;
    prefillers: number;
    /** Average of prompt tokens under way. */
    prefillTokens: number;
    /** Average of decode memory in use, as a part of the whole. */
    decodeFill: number;
}

/**
 * Decides when an engine of one service is to change its stage. Engines that crash come back within seconds, and a
 * change takes an engine away for as long, so that a change must have been wanted for some time.
 *
 * @example
 * ```ts
 * const plan = new StagePlan();
 * plan.next({ engines: 8, prefillers: 3, prefillTokens: 0, decodeFill: 0 }, clock.now());
 * ```
 */
export class StagePlanner {
    #wanted: { stage: EngineStage; engines: number; since: number; } | undefined;

    /**
     * Notes the present division.
     *
     * @param division The division and the load.
     * @param now Time in milliseconds.
     * @returns Stage that one engine should change to now; undefined if none should.
     */
    next(division: StageDivision, now: number): EngineStage | undefined {
        const { engines, decodeFill } = division;
        const idle = decodeFill < IDLE_FILL;
        const stage = wantedChange(division);
        const same = stage === this.#wanted?.stage && (!idle || this.#wanted?.engines === engines);
        if (!same) {
            this.#wanted = stage && { stage, engines, since: now };
        }
        const longEnough = idle ? SETTLED_MILLISECONDS : SUSTAINED_MILLISECONDS;
        return this.#wanted && now - this.#wanted.since >= longEnough ? this.#wanted.stage : undefined;
    }
}

function wantedChange({ engines, prefillers, prefillTokens, decodeFill }: StageDivision): EngineStage | undefined {
    const share = PREFILL_SHARE * engines;
    const usual = Math.min(engines - 1, Math.max(1, Math.round(share)));
    if (decodeFill < IDLE_FILL) {
        return prefillers === usual ? undefined : prefillers > usual ? "decode" : "prefill";
    }
    const crowded = prefillTokens / Math.max(1, prefillers) > CROWDED_TOKENS && decodeFill < BUSY_FILL;
    if (prefillers < usual || crowded && prefillers < engines - 1) {
        return "prefill";
    }
    return prefillers > Math.max(1, share + TOLERATED_ENGINES) && decodeFill > BUSY_FILL ? "decode" : undefined;
}
