import type { StoredItem } from "./stored_item.ts";

/** A change of one item. */
export type ItemChange =
    | { kind: "written"; item: StoredItem; }
    | { kind: "removed"; key: string; revision: number; };
