import type { ItemChange } from "./item_change.ts";
import type { StorePosition } from "./store_position.ts";

/** Result of a read of the store, with the position up to which it is complete. */
export interface ReplicaUpdate extends StorePosition {
    /** Position after which the changes begin. */
    after: StorePosition;
    /** The changes; undefined after a full snapshot. */
    changes: ItemChange[] | undefined;
}
