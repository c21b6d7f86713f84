import type { StorePosition } from "../replica/mod.ts";

/** Larger than any revision of one era, and small enough for 8,191 eras in the integers that JSON keeps exact. */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * Computes a fencing token that grows with the position of the store, also when revisions go back in a new era.
 *
 * @param position Position at which the leadership was taken.
 * @returns The token.
 * @throws {RangeError} If the position is too large for an exact token.
 */
export function fencingTokenOf({ era, revision }: StorePosition): number {
    const token = era * REVISIONS_PER_ERA + revision;
    if (revision >= REVISIONS_PER_ERA || !Number.isSafeInteger(token)) {
        throw new RangeError(`No fencing token for era ${era} and revision ${revision}.`);
    }
    return token;
}
