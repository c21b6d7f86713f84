import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Options of {@linkcode InstanceServer}. */
export interface InstanceServerOptions {
    /** Receives message and byte counts. */
    metrics: Metrics;
    /** Receives refused handshakes and malformed frames. */
    logger: Logger;
    /** Whether short messages are compressed, which saves bytes for processor time. Default: true. */
    compress?: boolean;
    /** Longest frame in bytes. Default: 4 MiB. */
    maximumFrameBytes?: number;
}
