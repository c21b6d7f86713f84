import type { OnceRecord } from "./once_record.ts";

/** Answer to an instance that wants to send a once-only call. */
export type BeginResult =
    | { kind: "begun"; }
    | { kind: "exists"; record: OnceRecord; }
    | { kind: "full"; }
    | { kind: "unavailable"; };
