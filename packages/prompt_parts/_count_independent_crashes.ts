import type { CrashedRun } from "./crashed_run.ts";

/**
 * Counts the crashes that cannot have one outside cause in common: each one is a crash of a run that was sent after the
 * crash counted before. Servers that lose power together count as one.
 *
 * @param runs Runs that ended with a crash.
 * @returns The number of independent crashes.
 */
export function countIndependentCrashes(runs: readonly CrashedRun[]): number {
    let count = 0;
    let lastEndedAt = Number.NEGATIVE_INFINITY;
    for (const run of [...runs].sort((left, right) => left.endedAt - right.endedAt)) {
        if (run.sentAt > lastEndedAt) {
            count++;
            lastEndedAt = run.endedAt;
        }
    }
    return count;
}
