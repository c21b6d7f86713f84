import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import type { CoordinationStore } from "./coordination_store.ts";

/** Dependencies and settings of {@linkcode Leadership}. */
export interface LeadershipOptions {
    /** Key of the item that names the leader. */
    key: string;
    /** Name of this instance. */
    self: string;
    /** Time in milliseconds after which a leader that does not renew its lease loses the leadership. */
    leaseMilliseconds: number;
    /** Whether all instances start for the first time, so that no former leader can act. */
    isFirstStart: boolean;
    /** Number of instances that may become the leader, this one included. */
    instanceCount(): number;
    store: CoordinationStore;
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    logger: Logger;
}
