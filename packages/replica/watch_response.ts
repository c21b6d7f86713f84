import type { ItemChange } from "./item_change.ts";

/** Result of a watch: changes up to a revision, or that the store no longer keeps the requested changes. */
export type WatchResponse =
    | { kind: "changes"; changes: ItemChange[]; revision: number; }
    | { kind: "history-lost"; };
