import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";

/** Dependencies of `ServedVersions`. */
export interface ServedVersionsOptions {
    directory: Pick<Directory, "servers" | "configuration">;
    replica: Pick<
        ItemReplica,
        "get" | "getStored" | "isFilled" | "position" | "confirmedAt" | "eraEnteredAt" | "onEraChange"
    >;
    store: Pick<CoordinationStore, "write" | "list">;
    clock: Pick<SuspensionAwareClock, "now">;
    /** Shortest time in milliseconds after the last server of a version has left, for which its streams may be taken up. */
    minimumLifetimeMilliseconds: number;
    /** Whether this instance and all others start for the first time. */
    isFirstStart: boolean;
    /** Whether this instance is one of those that write for all. */
    isWriter(): boolean;
    /** Number of instances, this one included. */
    instanceCount(): number;
    /** Returns a random number from 0 up to 1. Default: `Math.random`. */
    draw?: () => number;
    logger: Logger;
}
