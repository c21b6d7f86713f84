import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** What {@linkcode SuspectRegistry} works with. */
export interface SuspectRegistryOptions {
    /** Members that are told of each crash. */
    membership: Membership;
    /** Calls them. */
    pool: InstancePool;
    /** Answers them. */
    server: InstanceServer;
    /** Receives the number of reports. */
    metrics: Metrics;
    /** Receives requests that were stopped. */
    logger: Logger;
}
