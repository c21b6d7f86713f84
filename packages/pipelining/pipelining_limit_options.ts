import type { MemoryBudget } from "../memory/mod.ts";
import type { InputRefusal } from "./input_refusal.ts";

/** Options of a {@linkcode PipeliningLimit}. */
export interface PipeliningLimitOptions {
    /** Requests of one connection that may be without a complete response. */
    maximumUnansweredRequests: number;
    /** Memory of what has been received and belongs to no request. Default: without bound. */
    memory?: MemoryBudget;
    /** Tells whether a connection may begin another request beside those without a response. Default: it may. */
    mayBeginAnother?: () => boolean;
    /** Called when a connection has reached the limit and sends more. */
    onLimit?: () => void;
    /** Called when input is discarded, with its bytes so far and the requests before it that are still answered. */
    onDiscard?: (refusal: InputRefusal, bytes: number, unansweredRequests: number) => void;
}
