/** A write that takes effect only if the item has not changed. */
export interface ConditionalWrite {
    key: string;
    value: string;
    /** Revision that the item must have, 0 if it must not exist; undefined for an unconditional write. */
    expectedRevision?: number;
    /** Lease whose expiry or revocation removes the item. */
    lease?: number;
}
