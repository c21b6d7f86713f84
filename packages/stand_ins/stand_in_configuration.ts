import type { EngineStandInOptions } from "./engine_stand_in_options.ts";

/** Says which stand-ins one process runs. */
export type StandInConfiguration = {
    /** Kind of stand-in. */
    kind: "store" | "instance-list" | "engine" | "service";
    /** IP number and port. */
    address: string;
    /** Sizes and speeds, for an engine. */
    engine?: EngineStandInOptions;
}[];
