/**
 * Formats the value of the store's item. The era stands among the versions, where programs that do not know it pass over it.
 *
 * @param versions The versions.
 * @param era Era of the store in which they are complete; undefined if they may not be.
 * @returns The value.
 */
export function formatVersionList(versions: Iterable<string>, era: number | undefined): string {
    return JSON.stringify([...[...versions].sort(), ...era === undefined ? [] : [{ era }]]);
}
