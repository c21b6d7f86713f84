import type { CallResult } from "../harness/mod.ts";
import type { ScheduledRequest } from "./_scheduled_request.ts";

/** A request of an experiment with what came of it. */
export interface Outcome {
    request: ScheduledRequest;
    result: CallResult;
    /** Whether the whole answer arrived. */
    served: boolean;
    /** Milliseconds from the scheduled time to the first token. */
    firstToken: number;
    /** Mean milliseconds between tokens. */
    betweenTokens: number;
    /** Tokens of the answer. */
    outputTokens: number;
    /** Whether both latency targets were met. */
    good: boolean;
}
