import type { OnceRecord } from "./once_record.ts";

/** Result of an attempt to record the intent to send a once-only call. Only after `"begun"` may the call be sent. */
export type BeginResult =
    | { kind: "begun"; }
    | { kind: "exists"; record: OnceRecord; }
    | { kind: "full"; }
    | { kind: "unavailable"; };
