import type { EngineStandInOptions } from "../stand_ins/mod.ts";

/** An engine of a fleet. */
export interface EngineDescription {
    /** Name of the backend server. */
    name: string;
    /** What the engine does. */
    role: "prefill" | "decode";
    /** Failure domain that it runs in. */
    failureDomain: string;
    /** Models that it serves. Default: `["drafting"]`. */
    models?: string[];
    /** Pieces of decode memory, or prefills at a time. */
    capacity: number;
    /** Sizes and speeds of the stand-in. */
    engine?: EngineStandInOptions;
}
