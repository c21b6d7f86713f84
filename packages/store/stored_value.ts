/** A value of the store with the revision at which it was written. */
export interface StoredValue {
    /** Number that grows with each write of the key; 0 means that the key does not exist. */
    revision: number;
    /** The JSON value. */
    value: unknown;
}
