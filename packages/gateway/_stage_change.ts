import type { EngineStage } from "../directory/mod.ts";

/** A change of an engine's stage that this instance has ordered. */
export interface StageChange {
    stage: EngineStage;
    /** Unix time in milliseconds of the engine's start; another start carries out no order of before. */
    startedAt: number;
    /** Time in milliseconds at which the change has ended at the latest. */
    until: number;
}
