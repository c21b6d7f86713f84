import type { EngineStage } from "../directory/mod.ts";

/** What an engine says of itself, with a lag of some hundred milliseconds. */
export interface EngineReport {
    stage: EngineStage | undefined;
    /** Whether an order is being carried out. */
    busy: boolean;
    /** Number of orders accepted since the engine started. */
    sequence: number;
    waiting: number;
    running: number;
    /** Memory in tokens that cannot be evicted. */
    usedTokens: number;
    totalTokens: number;
}
