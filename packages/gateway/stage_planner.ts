import type { EngineStage } from "../directory/mod.ts";

/** Fraction of the engines of a service that are prefill engines while the traffic is unknown. */
const PREFILL_FRACTION = 0.24;
/** Decode memory utilisation below which the service counts as idle, so that a change affects hardly any request. */
const IDLE_UTILISATION = 0.02;
/** Decode memory utilisation above which decode engines are needed more than prefill engines. */
const BUSY_UTILISATION = 0.6;
/** Unfinished prompt tokens per prefill engine above which another prefill engine is needed. */
const OVERLOAD_TOKENS = 9_000;
/** Time in milliseconds for which a change must be needed under load, since a crashed engine restarts within it. */
const SUSTAINED_MILLISECONDS = 5_000;
/** Time in milliseconds for which a change must be needed without load, since engines register one by one. */
const IDLE_SUSTAINED_MILLISECONDS = 1_500;
/** Decode memory utilisation that the engines which stay at decode may reach if several change at once. */
const SPARED_UTILISATION = 0.5;
/** Surplus of prefill engines that is tolerated under load, since an engine is unavailable for seconds in a change. */
const TOLERATED_SURPLUS_ENGINES = 0.7;

/** Distance from the unrounded target, in engines, below which another prefill engine is needed. */
const TOLERATED_LACK_ENGINES = 1 - TOLERATED_SURPLUS_ENGINES;

/** Sums of the engines' speeds as factors of the median. */
interface StageSpeeds {
    all: number;
    prefill: number;
    /** Speed of the fastest prefill engine. */
    fastestPrefill: number;
}

/** Division of a service's engines between prefill and decode, and their load. */
interface StageDivision {
    engines: number;
    prefillEngines: number;
    /** Average number of unfinished prompt tokens. */
    prefillTokens: number;
    /** Average decode memory utilisation, from 0 to 1. */
    decodeUtilisation: number;
    /** Default: all engines are equally fast. */
    speeds?: StageSpeeds;
    /** Fraction of the engine time that prefills take. Default: it is not measured, and the usual one counts. */
    prefillFraction?: number | "not-measured-yet" | undefined;
}

/**
 * Decides when an engine of a service changes its stage. A crashed engine restarts within seconds, and an engine that
 * changes its stage is unavailable for as long, so a change must have been needed for some time.
 *
 * @example
 * ```ts
 * const planner = new StagePlanner();
 * planner.next({ engines: 8, prefillEngines: 3, prefillTokens: 0, decodeUtilisation: 0 }, clock.now());
 * ```
 */
export class StagePlanner {
    #neededChange: { stage: EngineStage; engines: number; since: number; } | undefined;

    /**
     * Records the current division and returns the change that is due.
     *
     * @param division The division and the load.
     * @param now Current time in milliseconds.
     * @returns The stage that one engine should change to now; undefined if none should.
     */
    next(division: StageDivision, now: number): EngineStage | undefined {
        const { engines, decodeUtilisation } = division;
        const idle = decodeUtilisation < IDLE_UTILISATION;
        const stage = computeNeededChange(division);
        const same = stage === this.#neededChange?.stage && (!idle || this.#neededChange?.engines === engines);
        if (!same) {
            this.#neededChange = stage && { stage, engines, since: now };
        }
        const requiredMilliseconds = idle ? IDLE_SUSTAINED_MILLISECONDS : SUSTAINED_MILLISECONDS;
        return this.#neededChange && now - this.#neededChange.since >= requiredMilliseconds
            ? this.#neededChange.stage
            : undefined;
    }

    /**
     * Counts the engines that may change at once. More than one changes only towards prefill, for a measured lack, and only
     * as many as leave the other decode engines with memory to spare while the change lasts.
     *
     * @param division The division and the load.
     * @param stage The stage to change to.
     * @returns The number of engines, at least 1.
     */
    countAtOnce(division: StageDivision, stage: EngineStage): number {
        const { engines, prefillEngines, decodeUtilisation, prefillFraction, speeds } = division;
        if (stage === "decode" || typeof prefillFraction !== "number") {
            return 1;
        }
        const lacking = Math.round(prefillFraction * (speeds?.all ?? engines) - (speeds?.prefill ?? prefillEngines));
        const decodeEngines = engines - prefillEngines;
        const spare = Math.floor(decodeEngines - decodeEngines * decodeUtilisation / SPARED_UTILISATION);
        return Math.max(1, Math.min(lacking, spare, decodeEngines - 1));
    }
}

function computeNeededChange(division: StageDivision): EngineStage | undefined {
    const { engines, prefillEngines, prefillTokens, decodeUtilisation, prefillFraction } = division;
    const speeds = division.speeds ?? { all: engines, prefill: prefillEngines, fastestPrefill: 1 };
    const isIdle = decodeUtilisation < IDLE_UTILISATION;
    if (prefillFraction === "not-measured-yet") {
        // The operator's division stands until the traffic is known.
        return prefillEngines === 0 && engines > 1 ? "prefill" : undefined;
    }
    // Speeds are known only from runs.
    const unroundedTarget = (prefillFraction ?? PREFILL_FRACTION) * (isIdle ? engines : speeds.all);
    const target = Math.min(engines - 1, Math.max(1, Math.round(unroundedTarget)));
    // A measured fraction varies, which without load is worth no order.
    if (isIdle && prefillFraction === undefined) {
        return prefillEngines === target ? undefined : prefillEngines > target ? "decode" : "prefill";
    }
    const overloaded = prefillTokens / Math.max(1, speeds.prefill) > OVERLOAD_TOKENS
        && decodeUtilisation < BUSY_UTILISATION;
    // No change makes the opposite one needed, however fast the engine is that changes.
    const least = unroundedTarget - TOLERATED_LACK_ENGINES;
    const isShort = speeds.prefill < Math.min(target - 0.5, least);
    // A measured lack waits for a calm moment: a change would cost answers more than it gains prompts.
    const mayWait = prefillFraction !== undefined && decodeUtilisation >= BUSY_UTILISATION;
    const isLacking = prefillEngines < Math.min(1, target) || (isShort && !mayWait);
    if ((isLacking || overloaded) && prefillEngines < engines - 1) {
        return "prefill";
    }
    const isSurplus = prefillEngines > 1 && speeds.prefill - speeds.fastestPrefill > least;
    return isSurplus && decodeUtilisation > BUSY_UTILISATION ? "decode" : undefined;
}
