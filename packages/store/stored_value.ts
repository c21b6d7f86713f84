import type { StorePosition } from "../replica/mod.ts";

/**
 * A value of the store with the position at which it was read. The revision is that of the key and increases with each
 * write of an era; 0 means that the key does not exist.
 */
export interface StoredValue extends StorePosition {
    /** The JSON value. */
    value: unknown;
}
