import type { RegisteredVersions } from "./registered_versions.ts";
import type { VersionList } from "./version_list.ts";

/** What a look at the store and the directory shows of a service. */
export interface VersionObservation {
    registered: RegisteredVersions;
    list: VersionList;
    /** Present era of the store. */
    era: number;
    /** Current time in milliseconds. */
    now: number;
    /** Current monotonic time in milliseconds, which never runs faster than real time. */
    monotonicNow: number;
    /** Start in milliseconds of the last read that confirmed what is observed. */
    confirmedAt: number;
}
