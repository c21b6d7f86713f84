import type { EngineStandInOptions } from "../stand_ins/mod.ts";

/** An engine of a fleet. */
export interface EngineDescription {
    /** Name of the backend server. */
    name: string;
    /** Stage that the engine serves. */
    role: "prefill" | "decode";
    /** Failure domain that it runs in. */
    failureDomain: string;
    /** Models that it serves. Default: `["drafting"]`. */
    models?: string[];
    /** Pieces of KV cache memory of a decode engine, or concurrent prefills of a prefill engine. */
    capacity: number;
    /** Sizes and speeds of the stand-in. */
    engine?: EngineStandInOptions;
}
