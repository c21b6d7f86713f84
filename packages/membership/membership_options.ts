import type { InstanceList } from "../instance_list/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Store } from "../store/mod.ts";

/** What {@linkcode Membership} works with. */
export interface MembershipOptions {
    /** Store that holds the epoch record. */
    store: Store;
    /** Connections to other instances. */
    pool: InstancePool;
    /** The platform's list of instances. */
    instanceList: InstanceList;
    /** Receives counts of changes and removals. */
    metrics: Metrics;
    /** Receives joins, removals and failures. */
    logger: Logger;
    /** Checks that the epoch never decreases. */
    invariants: Invariants;
    /** Milliseconds by which the platform's list may lag. Default: 15,000. */
    listLagMilliseconds?: number;
}
