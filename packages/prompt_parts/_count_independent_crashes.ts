import type { CrashedRun } from "./crashed_run.ts";

/**
 * Counts the crashes that cannot have one outside cause in common: each server still ran after the crash counted before.
 * Servers that lose power together count as one, also for requests that are sent to them while that is not known yet.
 *
 * @param runs Runs that ended with a crash.
 * @returns The number of independent crashes.
 */
export function countIndependentCrashes(runs: readonly CrashedRun[]): number {
    const crashedStarts = new Set<string>();
    let lastEndedAt = Number.NEGATIVE_INFINITY;
    for (const run of [...runs].sort((left, right) => left.endedAt - right.endedAt)) {
        const start = `${run.server} ${run.startedAt}`;
        if (run.aliveAt > lastEndedAt && !crashedStarts.has(start)) {
            crashedStarts.add(start);
            lastEndedAt = run.endedAt;
        }
    }
    return crashedStarts.size;
}
