import type { Verdict } from "../verdicts/mod.ts";

/**
 * Why a request to a backend server got no response.
 *
 * `"crossed"`: the response belonged to another request. `"malformed"`: what arrived is no answer, such as one
 * with a status that HTTP does not have. `"aborted"`: the request was aborted by its sender.
 */
export interface BackendFault {
    kind: "unreachable" | "reset" | "timeout" | "crossed" | "malformed" | "aborted";
    /** Whether the request may have run. */
    verdict: Verdict;
    message: string;
    /** Whether no process listens at the server's address. */
    portClosed: boolean;
}
