import type { StoredResponse } from "./stored_response.ts";

/** What is known of one call that may run at most once. */
export interface OnceRecord {
    /** Identifies the one attempt that may send the call. */
    attempt: string;
    /** Hash of the call, to tell another call under the same key. */
    fingerprint: string;
    /** Id of the instance that may send the call. */
    owner: string;
    /** Wall-clock time of the intent in milliseconds, for expiry. */
    at: number;
    /** `"started"`: the call may be under way; `"finished"`: it ran; `"unknown"`: it may have run. */
    state: "started" | "finished" | "unknown";
    /** The answer, if it ran and the answer is small enough. */
    answer?: StoredResponse | undefined;
}
