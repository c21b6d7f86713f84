import type { PromptPartReport } from "./prompt_part_report.ts";

/** Largest number of entries of each kind in a merged report. */
const MAXIMUM_ENTRIES = 256;

/**
 * Appends a report to another one.
 *
 * @param target The report that is extended.
 * @param added The report that is appended.
 * @param age Milliseconds since the appended report was received.
 * @example
 * ```ts
 * mergePromptPartReports(merged, report, 250);
 * ```
 */
export function mergePromptPartReports(target: PromptPartReport, added: PromptPartReport, age: number): void {
    const crashes = added.crashes.map(run => ({ ...run, sentAge: run.sentAge + age, endedAge: run.endedAge + age }));
    append(target.crashes, crashes);
    append(
        target.blocked,
        added.blocked.map(([part, since, requested]): [string, number, number] => [part, since + age, requested + age]),
    );
    append(target.cleared, added.cleared.map(([part, cleared]): [string, number] => [part, cleared + age]));
}

function append<Entry>(target: Entry[], added: Entry[]): void {
    target.push(...added.slice(0, Math.max(0, MAXIMUM_ENTRIES - target.length)));
}
