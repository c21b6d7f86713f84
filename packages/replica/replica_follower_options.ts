import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** What a {@linkcode ReplicaFollower} works with. */
export interface ReplicaFollowerOptions {
    /** Prefix of the items to copy. */
    prefix: string;
    /** Clock that dates what was read. */
    clock: SuspensionAwareClock;
    logger: Logger;
    metrics: Metrics;
}
