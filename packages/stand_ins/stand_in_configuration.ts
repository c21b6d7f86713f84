import type { EngineStandInOptions } from "./engine_stand_in_options.ts";

/** The stand-ins that one process runs. */
export type StandInConfiguration = {
    /** Kind of stand-in. */
    kind: "store" | "instance-list" | "engine" | "service";
    /** IP address and port. */
    address: string;
    /** Sizes and speeds of an engine. */
    engine?: EngineStandInOptions;
}[];
