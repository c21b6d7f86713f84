import type { StorePosition } from "./store_position.ts";

/**
 * Orders two states of the store: by era, then by revision.
 *
 * @param left One position.
 * @param right The other one.
 * @returns A negative number if `left` is older, a positive one if it is newer, 0 if they are equal.
 * @example
 * ```ts
 * comparePositions({ era: 1, revision: 30 }, { era: 2, revision: 21 }); // negative
 * ```
 */
export function comparePositions(left: StorePosition, right: StorePosition): number {
    return left.era - right.era || left.revision - right.revision;
}
