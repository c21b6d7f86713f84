import type { ConfigurationState } from "../configuration/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";

/** What {@linkcode Heartbeats} works with. */
export interface HeartbeatsOptions {
    /** Members to exchange heartbeats with. */
    membership: Membership;
    /** Configuration to spread. */
    configuration: ConfigurationState;
    /** Calls other instances. */
    pool: InstancePool;
    /** Answers other instances. */
    server: InstanceServer;
    /** Receives failures. */
    logger: Logger;
}
