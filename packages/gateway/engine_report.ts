import type { EngineStage } from "../directory/mod.ts";

/** State of an engine as it reports it, delayed by some hundred milliseconds. */
export interface EngineReport {
    stage: EngineStage | undefined;
    /** Whether the engine is executing an order. */
    busy: boolean;
    /** Number of orders accepted since the engine started. */
    sequence: number;
    /** Number of queued requests. */
    waiting: number;
    /** Number of running requests. */
    running: number;
    /** KV cache memory in tokens that cannot be evicted. */
    usedTokens: number;
    totalTokens: number;
    /** Unix time in milliseconds of the start of the process that reports; undefined if it doesn't tell. */
    startedAt: number | undefined;
    /** Ids of the requests that it runs. */
    runs: ReadonlySet<string>;
}
