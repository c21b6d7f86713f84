import type { StoredResponse } from "./stored_response.ts";

/** Record of one once-only call. */
export interface OnceRecord {
    /** Identifies the only attempt that may send the call. */
    attempt: string;
    /** Hash of the call; detects another call with the same idempotency key. */
    fingerprint: string;
    /** Id of the instance that makes the attempt. */
    owner: string;
    /** Wall-clock time in milliseconds at which the intent was recorded; the retention time starts then. */
    at: number;
    /** `"started"`: the call may be in progress; `"finished"`: it ran; `"unknown"`: it may have run. */
    state: "started" | "finished" | "unknown";
    /** The response, if the call ran and its response is small enough to be stored. */
    answer?: StoredResponse | undefined;
}
