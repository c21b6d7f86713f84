import type { Refusal } from "../verdicts/mod.ts";
import type { Completion } from "./completion.ts";

/** How one attempt to serve a model request ended. */
export type AttemptOutcome =
    | { kind: "completed"; completion: Completion; }
    | { kind: "refused"; refusal: Refusal; }
    | { kind: "failed"; reason: RetryReason; message: string; };

/** Why a request is tried again; the label of the retry counters. */
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
