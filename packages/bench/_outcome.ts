import type { CallResult } from "../harness/mod.ts";
import type { ScheduledRequest } from "./_scheduled_request.ts";

/** A request of an experiment and its outcome. */
export interface Outcome {
    request: ScheduledRequest;
    result: CallResult;
    /** Whether the whole completion arrived. */
    served: boolean;
    /** Milliseconds from the scheduled time to the first token. */
    firstToken: number;
    /** Mean milliseconds between tokens. */
    betweenTokens: number;
    /** Number of output tokens. */
    outputTokens: number;
    /** Whether the request was served within both latency targets. */
    good: boolean;
}
