import type { ConfigurationState } from "../configuration/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Store } from "../store/mod.ts";

/** What {@linkcode ConfigurationFollower} works with. */
export interface ConfigurationFollowerOptions {
    /** Store that holds the configuration. */
    store: Store;
    /** Configuration in force here. */
    configuration: ConfigurationState;
    /** Says which members watch the store for the others. */
    membership: Membership;
    /** Receives failures. */
    logger: Logger;
}
