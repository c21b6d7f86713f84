import { sleep } from "../clocks/mod.ts";
import type { OnceClient } from "../once/mod.ts";

/** Longest wait at a shutdown until the outcomes of once-only calls are recorded. */
const OUTCOME_TIMEOUT_MILLISECONDS = 5_000;
const POLL_MILLISECONDS = 50;

/** Waits until the outcomes of once-only calls are recorded, at most for some seconds. */
export async function waitForOutcomes(once: OnceClient): Promise<void> {
    const attempts = OUTCOME_TIMEOUT_MILLISECONDS / POLL_MILLISECONDS;
    for (let attempt = 0; attempt < attempts && once.unrecordedOutcomes > 0; attempt++) {
        await sleep(POLL_MILLISECONDS);
    }
}
