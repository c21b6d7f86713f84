import type { ConfigurationState } from "../configuration/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";

/** Dependencies of {@linkcode Heartbeats}. */
export interface HeartbeatsOptions {
    /** Members to exchange heartbeats with. */
    membership: Membership;
    /** Configuration to distribute. */
    configuration: ConfigurationState;
    /** Connections to other instances. */
    pool: InstancePool;
    /** Receives calls from other instances. */
    server: InstanceServer;
    /** Logs failures. */
    logger: Logger;
}
