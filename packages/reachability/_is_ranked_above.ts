/** Compares two lists of ranks of the same length, the most important first. */
export function isRankedAbove(first: readonly number[], second: readonly number[]): boolean {
    const index = first.findIndex((rank, position) => rank !== second[position]);
    return index >= 0 && (first[index] ?? 0) > (second[index] ?? 0);
}
