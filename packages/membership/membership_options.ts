import type { InstanceList } from "../instance_list/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Store } from "../store/mod.ts";

/** Dependencies of {@linkcode Membership}. */
export interface MembershipOptions {
    /** Store that holds the membership record. */
    store: Store;
    /** Connections to other instances. */
    pool: InstancePool;
    /** The platform's list of instances. */
    instanceList: InstanceList;
    /** Counts changes and removals. */
    metrics: Metrics;
    /** Logs joins, terminated members and failures. */
    logger: Logger;
    /** Checks that the epoch never decreases. */
    invariants: Invariants;
    /** Longest time in milliseconds by which the platform's list may be out of date. Default: 15,000. */
    listLagMilliseconds?: number;
}
