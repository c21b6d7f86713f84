import type { StorePosition } from "./store_position.ts";

/** What happened when the replica followed the store into another era. */
export interface EraChange {
    /** Position of the replica before. */
    from: StorePosition;
    /** Position of the first snapshot of the new era. */
    to: StorePosition;
    /** Number of items whose former state is kept, since it is newer than the copy. */
    retained: number;
}
