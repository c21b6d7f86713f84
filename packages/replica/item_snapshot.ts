import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/**
 * All items under a prefix, with the position of the store before the first page was read; changes after it may or may
 * not be included.
 */
export interface ItemSnapshot extends StorePosition {
    items: StoredItem[];
}
