import { isSameWrite } from "./_is_same_write.ts";
import type { ListenerList } from "./_listener_list.ts";
import type { ItemChange } from "./item_change.ts";
import { positionOf } from "./position_of.ts";
import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/** What was known of an item, and what is. */
interface ItemDifference {
    key: string;
    known: StoredItem | undefined;
    item: StoredItem | undefined;
    /** Position at which the item was removed, if it was. */
    position: StorePosition;
}

/** Tells listeners how an item differs from what was known of it, if it does. */
export function emitDifference(
    listeners: ListenerList<ItemChange>,
    { key, known, item, position }: ItemDifference,
): void {
    if (item && !isSameWrite(known, item)) {
        listeners.emit({ kind: "written", item });
    }
    if (!item && known) {
        listeners.emit({ kind: "removed", key, ...positionOf(position) });
    }
}
