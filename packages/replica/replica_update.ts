import type { ItemChange } from "./item_change.ts";

/** What a read of the store has brought. */
export interface ReplicaUpdate {
    /** Revision after which the changes begin. */
    after: number;
    /** Revision up to which they are complete. */
    revision: number;
    /** The changes; undefined if everything was read. */
    changes: ItemChange[] | undefined;
}
