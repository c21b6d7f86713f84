import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/**
 * A change of one item. A `missing` item is not in the copy that the store has come back from: its writer may write it
 * again, and until then the replica keeps it for a time.
 */
export type ItemChange =
    | { kind: "written"; item: StoredItem; }
    | { kind: "removed"; key: string; } & StorePosition
    | { kind: "missing"; key: string; } & StorePosition;
