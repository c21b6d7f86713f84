import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Dependencies of {@linkcode SuspectRegistry}. */
export interface SuspectRegistryOptions {
    /** Members to which each crash is reported. */
    membership: Membership;
    /** Sends reports to the other members. */
    pool: InstancePool;
    /** Receives reports from the other members. */
    server: InstanceServer;
    /** Counts the reports. */
    metrics: Metrics;
    /** Receives a warning for each request that is blocked. */
    logger: Logger;
}
