import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/**
 * State of an item that is newer than the copy that the store has come back from, and holds until it is written again.
 * The position is the one at which the state was known.
 */
export interface RetainedItem extends StorePosition {
    key: string;
    /** The item; undefined if it had been removed. */
    item: StoredItem | undefined;
    /** Revision of the item in the copy; 0 if the copy lacks it. */
    copiedRevision: number;
    /** Time until which the state is kept, in milliseconds on the replica's clock. */
    until: number;
}
