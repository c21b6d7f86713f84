import type { Metrics } from "../metrics/mod.ts";

/** Options of {@linkcode InstanceClient}. */
export interface InstanceClientOptions {
    /** Receives message and byte counts. */
    metrics: Metrics;
    /** Role to prove. Default: `"instance"`. */
    role?: "instance" | "operator";
    /** Incarnation expected at the address; any if absent. */
    incarnation?: string;
    /** Whether short messages are compressed, which saves bytes for processor time. Default: true. */
    compress?: boolean;
    /** Longest frame in bytes. Default: 4 MiB. */
    maximumFrameBytes?: number;
}
