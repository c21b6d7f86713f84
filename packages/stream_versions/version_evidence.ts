import type { FoundOrigin } from "./found_origin.ts";

/** What a finding rests on, for log lines. */
export interface VersionEvidence {
    /** Versions of the registered servers, at most eight. */
    registered: string[];
    /** Versions on the list in the store, at most eight. */
    listed: string[];
    /** Era of the store for which the list is complete; undefined if it does not say it. */
    listEra: number | undefined;
    /** Whether this instance knows that there can be no other versions. */
    isCertain: boolean;
    /** How the record of the stream came here; undefined if there is none. */
    record: Omit<FoundOrigin, "origin"> | undefined;
}
