import type { Verdict } from "../verdicts/mod.ts";

/** A call to an engine that failed. */
export class EngineFailure {
    /**
     * @param kind `"down"`: no process listens or the connection broke; `"refused"`: the engine rejected the request or
     * sent a malformed response; `"timeout"`: no response in time; `"handle-gone"`: the prefill result had expired;
     * `"cancelled"`: the caller aborted the call.
     * @param verdict Whether the request may have run.
     * @param message What happened.
     */
    constructor(
        readonly kind: "down" | "refused" | "timeout" | "handle-gone" | "cancelled",
        readonly verdict: Verdict,
        readonly message: string,
    ) {}
}
