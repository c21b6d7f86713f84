import type { OnceRecord } from "./once_record.ts";

type Records = Record<string, OnceRecord>;

const RANKS: Record<OnceRecord["state"], number> = { started: 0, unknown: 1, finished: 2 };

/**
 * Adds to the records of a store that came back from an older copy those that it has lost.
 *
 * @param stored Records in the store. The attempt that it holds for a key stays.
 * @param known Records that were in the store before.
 * @returns The records; `stored` itself if it has lost none.
 * @example
 * ```ts
 * mergeRecords({}, { [key]: record }); // { [key]: record }
 * ```
 */
export function mergeRecords(stored: Records, known: Records): Records {
    const lost = Object.entries(known).filter(([key, record]) => {
        const present = stored[key];
        return !present || present.attempt === record.attempt && RANKS[present.state] < RANKS[record.state];
    });
    return lost.length === 0 ? stored : { ...stored, ...Object.fromEntries(lost) };
}
