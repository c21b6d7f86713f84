import type { PassProgress } from "./pass_progress.ts";

/** Creates the progress of a stream before its first pass. */
export function createPassProgress(): PassProgress {
    return {
        lastEventId: undefined,
        softwareVersion: undefined,
        identified: undefined,
        runs: 0,
        prefillAttempted: false,
        localPrefill: false,
        refused: undefined,
        successor: undefined,
        mustGoOn: false,
        excluded: new Set(),
    };
}
