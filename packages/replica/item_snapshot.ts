import type { StoredItem } from "./stored_item.ts";

/** All items under a prefix. */
export interface ItemSnapshot {
    items: StoredItem[];
    /** Revision of the store before the first page was read; changes after it may or may not be included. */
    revision: number;
}
