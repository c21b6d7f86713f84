import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ReplicaUpdate } from "./replica_update.ts";

/** Dependencies of {@linkcode ReplicaFollower}. */
export interface ReplicaFollowerOptions {
    /** Prefix of the items to replicate. */
    prefix: string;
    /** Clock for the times of reads. */
    clock: SuspensionAwareClock;
    /** Whether this instance must read the store itself rather than rely on peers. */
    isReader(): boolean;
    /** Receives the result of each read, to be forwarded to peers. */
    onRead(update: ReplicaUpdate): void;
    logger: Logger;
    metrics: Metrics;
}
