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
    /**
     * Returns from when on a read must begin to tell this instance what it waits for, in milliseconds on the clock; undefined
     * if it waits for none. It begins just then, whoever else reads.
     */
    awaitedReadAt(): number | undefined;
    /** Receives the result of each read, to be forwarded to peers. */
    onRead(update: ReplicaUpdate): void;
    logger: Logger;
    metrics: Metrics;
}
