import type { Metrics } from "../metrics/mod.ts";

/** Options of {@linkcode InstanceClient}. */
export interface InstanceClientOptions {
    /** Receives message and byte counts. */
    metrics: Metrics;
    /** Role to prove. Default: `"instance"`. */
    role?: "instance" | "operator";
    /** Incarnation expected at the address; any if absent. */
    incarnation?: string;
    /** Longest frame in bytes. Default: 4 MiB. */
    maximumFrameBytes?: number;
}
