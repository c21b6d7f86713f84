import type { Refusal } from "../verdicts/mod.ts";
import type { Completion } from "./completion.ts";

/** Outcome of one attempt to serve a model request; only `"failed"` may be retried. */
export type AttemptOutcome =
    | { kind: "completed"; completion: Completion; }
    | { kind: "refused"; refusal: Refusal; }
    | { kind: "failed"; reason: RetryReason; message: string; };

/** Reason for a retry; also the `reason` label of the retry counter. */
type RetryReason =
    | "prefill-down"
    | "prefill-refused"
    | "prefill-timeout"
    | "reservation-expired"
    | "server-drained"
    | "handle-expired"
    | "decode-down"
    | "decode-refused"
    | "decode-timeout"
    | "stream-broken"
    | "stream-crossed";
