import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ReplicaUpdate } from "./replica_update.ts";

/** What a {@linkcode ReplicaFollower} works with. */
export interface ReplicaFollowerOptions {
    /** Prefix of the items to copy. */
    prefix: string;
    /** Clock that dates what was read. */
    clock: SuspensionAwareClock;
    /** Whether the store is to be read by this instance, as no peer does so in its place. */
    isReader(): boolean;
    /** Number of instances known, this one included. */
    instanceCount(): number;
    /** Receives what was read, to be passed on to peers. */
    onRead(news: ReplicaUpdate): void;
    logger: Logger;
    metrics: Metrics;
}
