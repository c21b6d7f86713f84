import type { ItemChange } from "./item_change.ts";

/** What a watch has to say: changes up to a revision, or that the changes asked for are no longer kept. */
export type WatchResponse =
    | { kind: "changes"; changes: ItemChange[]; revision: number; }
    | { kind: "history-lost"; };
