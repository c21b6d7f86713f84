import type { Verdict } from "../verdicts/mod.ts";

/** A request to a backend server that brought no answer. */
export interface BackendFault {
    kind: "unreachable" | "reset" | "timeout" | "crossed" | "aborted";
    verdict: Verdict;
    message: string;
}
