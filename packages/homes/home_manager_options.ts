import type { ConfigurationState } from "../configuration/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** What {@linkcode Homes} works with. */
export interface HomeManagerOptions {
    /** Says which instance is the home of a key. */
    membership: Membership;
    /** Says which keys exist. */
    configuration: ConfigurationState;
    /** Calls former homes. */
    pool: InstancePool;
    /** Answers the next homes. */
    server: InstanceServer;
    /** Receives counts of activations. */
    metrics: Metrics;
    /** Receives failures. */
    logger: Logger;
}
