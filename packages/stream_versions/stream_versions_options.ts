import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";

/** Dependencies of `StreamVersions`. */
export interface StreamVersionsOptions {
    /** Name of this instance. */
    self: string;
    directory: Pick<Directory, "servers" | "configuration">;
    replica: ItemReplica;
    store: Pick<CoordinationStore, "write" | "list">;
    clock: SuspensionAwareClock;
    /** Whether this instance and all others start for the first time. */
    isFirstStart: boolean;
    /** Whether this instance is one of those that write for all. */
    isWriter(): boolean;
    /** Age of the directory in milliseconds. */
    directoryAge(): number;
    /** Number of instances, this one included. */
    instanceCount(): number;
    metrics: Metrics;
    logger: Logger;
}
