import type { Metrics } from "../metrics/mod.ts";

/** Options of {@linkcode InstanceClient}. */
export interface InstanceClientOptions {
    /** Receives message and byte counts. */
    metrics: Metrics;
    /** Role to authenticate as. Default: `"instance"`. */
    role?: "instance" | "operator";
    /** Incarnation expected at the address; any is accepted if absent. */
    incarnation?: string;
    /** Whether short messages are compressed, which trades processor time for bytes. Default: true. */
    compress?: boolean;
    /** Longest payload of a received frame in bytes. Default: 4 MiB. */
    maximumFrameBytes?: number;
}
