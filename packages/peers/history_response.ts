import type { StorePosition } from "../replica/mod.ts";

/** Items that an instance has seen replaced or removed, up to its position of the store. */
export interface HistoryResponse extends StorePosition {
    /** What identifies each item, the oldest first. */
    fingerprints: string[];
    /** Whether the instance knows what its peers had seen before it started. */
    isComplete: boolean;
}
