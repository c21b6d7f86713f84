import type { ItemSnapshot, RetainedItem, StorePosition } from "../replica/mod.ts";

/** Response to a pull: the peer's position and, if requested and newer, a snapshot of its replica. */
export interface PullResponse extends StorePosition {
    /** Time in milliseconds since the peer's replica was last confirmed. */
    age: number;
    /** Whether the peer's last read of the store succeeded. */
    readsStore: boolean;
    snapshot?: ItemSnapshot;
    /** States that the peer retains, with the remaining milliseconds as `until`. */
    retained?: RetainedItem[];
}
