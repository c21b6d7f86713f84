import type { ConfigurationState } from "../configuration/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Store } from "../store/mod.ts";
import type { Heartbeats } from "./heartbeats.ts";

/** Dependencies of {@linkcode ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
    /** Store that holds the configuration. */
    store: Store;
    /** Configuration in force at this instance. */
    configuration: ConfigurationState;
    /** Determines which members watch the store. */
    membership: Membership;
    /** Collects what other members know beyond an older copy of the store. */
    heartbeats: Pick<Heartbeats, "collectConfiguration">;
    /** Logs failures. */
    logger: Logger;
}
