import type { ItemChange } from "./item_change.ts";
import type { StorePosition } from "./store_position.ts";

/**
 * Result of a watch: changes up to a position of the same era, or that the store does not have the requested changes,
 * because it has discarded them or is in another era.
 */
export type WatchResponse =
    | { kind: "changes"; changes: ItemChange[]; } & StorePosition
    | { kind: "history-lost"; };
