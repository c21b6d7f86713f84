import type { StoreLease } from "./store_lease.ts";

/** A write that takes effect only if its condition holds. */
export interface ConditionalWrite {
    key: string;
    value: string;
    /** Whether the item must not exist yet. Default: no condition. */
    isNew?: boolean;
    /** Lease whose expiry or revocation removes the item. */
    lease?: StoreLease;
}
