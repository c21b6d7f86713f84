/** A value of the store with the revision at which it was written. */
export interface StoredValue {
    /** Revision of the key, which increases with each write; 0 means that the key does not exist. */
    revision: number;
    /** The JSON value. */
    value: unknown;
}
