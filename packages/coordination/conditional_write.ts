import type { StorePosition } from "../replica/mod.ts";
import type { StoreLease } from "./store_lease.ts";

/** A write that takes effect only if its condition holds. */
export interface ConditionalWrite {
    key: string;
    value: string;
    /** Whether the item must not exist yet. Default: no condition. */
    isNew?: boolean;
    /** Position of the item's last change, after which it must not have changed. Default: no condition. */
    unchangedSince?: StorePosition;
    /** Lease whose expiry or revocation removes the item. */
    lease?: StoreLease;
}
