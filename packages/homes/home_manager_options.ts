import type { ConfigurationState } from "../configuration/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Dependencies of {@linkcode HomeManager}. */
export interface HomeManagerOptions {
    /** Determines the home of each key. */
    membership: Membership;
    /** Determines which keys exist. */
    configuration: ConfigurationState;
    /** Connections to former and next homes. */
    pool: InstancePool;
    /** Receives calls from other homes. */
    server: InstanceServer;
    /** Counts activations. */
    metrics: Metrics;
    /** Logs failures. */
    logger: Logger;
}
