import type { ItemChange } from "./item_change.ts";

/** Result of a read of the store. */
export interface ReplicaUpdate {
    /** Revision after which the changes begin. */
    after: number;
    /** Revision up to which they are complete. */
    revision: number;
    /** The changes; undefined after a full snapshot. */
    changes: ItemChange[] | undefined;
}
