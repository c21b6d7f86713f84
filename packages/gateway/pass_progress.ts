import type { PrefillResult } from "./prefill_result.ts";

/** What a request has received so far. */
export interface PassProgress {
    lastEventId: number | undefined;
    runs: number;
    prefilled: boolean;
    /** Whether the decode engine is to compute the prompt itself, since a prefill's result could not be fetched. */
    localPrefill: boolean;
    /** A prefill's result that one decode engine did not take; another one is asked. */
    refused: { prefilled: PrefillResult; by: string; } | undefined;
    excluded: Set<string>;
}
