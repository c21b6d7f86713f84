import type { StoredItem } from "./stored_item.ts";

/**
 * Returns whether two items stem from the same write, whatever the era in which they were read.
 *
 * @param left One item; undefined if there is none.
 * @param right The other item.
 * @returns Whether they do; true if there is neither.
 */
export function isSameWrite(left: StoredItem | undefined, right: StoredItem | undefined): boolean {
    return left?.revision === right?.revision && left?.value === right?.value;
}
