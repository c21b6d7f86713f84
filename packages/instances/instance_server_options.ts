import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Options of {@linkcode InstanceServer}. */
export interface InstanceServerOptions {
    /** Receives message and byte counts. */
    metrics: Metrics;
    /** Receives failed handshakes, malformed frames and failed calls. */
    logger: Logger;
    /** Whether short messages are compressed, which trades processor time for bytes. Default: true. */
    compress?: boolean;
    /** Longest payload of a received frame in bytes. Default: 4 MiB. */
    maximumFrameBytes?: number;
}
