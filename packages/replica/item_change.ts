import type { StoredItem } from "./stored_item.ts";

/** A change that a watch reports. */
export type ItemChange =
    | { kind: "written"; item: StoredItem; }
    | { kind: "removed"; key: string; revision: number; };
