import type { StorePosition } from "./store_position.ts";

/** An item of the platform's store, with the position of its last change. */
export interface StoredItem extends StorePosition {
    key: string;
    /** Text of the value; undefined when the bytes are not text. */
    value: string | undefined;
}
