import type { VersionEvidence } from "./version_evidence.ts";

/** What is known of the software version that began a stream. */
export type VersionFinding =
    & (
        /** It was recorded when the stream began. */
        | { kind: "recorded"; version: string; }
        /** No other version can have begun the stream. */
        | { kind: "only-version"; version: string; }
        | {
            kind: "unknown";
            /** Version that a record of a former build names; undefined if there is none. */
            claimedVersion: string | undefined;
        }
    )
    & { evidence: VersionEvidence; };
