import type { PromptPartReport } from "./prompt_part_report.ts";

/** Largest number of entries of each kind in a merged report. */
const MAXIMUM_ENTRIES = 256;

/**
 * Adds a report to another one. What both contain is kept once, as instances repeat what they have learned.
 *
 * @param target The report that is extended.
 * @param added The report that is added.
 * @param age Milliseconds since the added report was received.
 * @example
 * ```ts
 * mergePromptPartReports(merged, report, 250);
 * ```
 */
export function mergePromptPartReports(target: PromptPartReport, added: PromptPartReport, age: number): void {
    const crashKey = ({ server, startedAt, parts }: PromptPartReport["crashes"][number]) =>
        [server, startedAt, ...parts].join(" ");
    target.crashes = merge(
        target.crashes,
        added.crashes.map(run => ({ ...run, aliveAge: run.aliveAge + age, endedAge: run.endedAge + age })),
        crashKey,
        ({ endedAge }) => endedAge,
    );
    target.blocked = merge(
        target.blocked,
        added.blocked.map(([part, since, requested]): [string, number, number] => [part, since + age, requested + age]),
        ([part]) => part,
        ([, , requested]) => requested,
    );
    target.cleared = merge(
        target.cleared,
        added.cleared.map(([part, cleared]): [string, number] => [part, cleared + age]),
        ([part]) => part,
        ([, cleared]) => cleared,
    );
}

/** Joins two lists, of entries with the same key the newest one, and keeps the newest entries. */
function merge<Entry>(
    left: Entry[],
    right: Entry[],
    keyOf: (entry: Entry) => string,
    ageOf: (entry: Entry) => number,
): Entry[] {
    const newest = new Map<string, Entry>();
    for (const entry of [...left, ...right].sort((one, other) => ageOf(one) - ageOf(other))) {
        const key = keyOf(entry);
        if (!newest.has(key)) {
            newest.set(key, entry);
        }
    }
    return [...newest.values()].slice(0, MAXIMUM_ENTRIES);
}
