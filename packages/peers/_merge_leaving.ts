/** Largest number of servers in a message. */
const MAXIMUM_SERVERS = 1_024;

/** Merges lists of leaving servers, or of those that are gone, which several instances know, without repetitions. */
export function mergeLeaving(...lists: [string, number][][]): [string, number][] {
    const merged = new Map<string, [string, number]>();
    for (const [id, startedAt] of lists.flat()) {
        merged.set(`${id}\n${startedAt}`, [id, startedAt]);
    }
    return [...merged.values()].slice(-MAXIMUM_SERVERS);
}
