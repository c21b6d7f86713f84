import type { Logger } from "../logs/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import type { CoordinationStore } from "./coordination_store.ts";

/** Dependencies and settings of {@linkcode EraWitness}. */
export interface EraWitnessOptions {
    /** Key of the item that names the era. */
    key: string;
    /** Whether all instances start for the first time, so that no era before can be missing. */
    isFirstStart: boolean;
    /** Whether this instance is one of those that write the item. */
    isWriter(): boolean;
    /** Whether what the replica holds can no longer lack what is written again after a return. */
    isTrusted(): boolean;
    store: CoordinationStore;
    replica: ItemReplica;
    logger: Logger;
}
