import type { StorePosition } from "./store_position.ts";

/**
 * Takes the position out of an object that has one among other fields.
 *
 * @param positioned An item, a snapshot or an update.
 * @returns Its position.
 * @example
 * ```ts
 * positionOf({ key: "a", value: "1", era: 1, revision: 4 }); // { era: 1, revision: 4 }
 * ```
 */
export function positionOf(positioned: StorePosition): StorePosition {
    return { era: positioned.era, revision: positioned.revision };
}
