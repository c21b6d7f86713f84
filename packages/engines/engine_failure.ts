import type { Verdict } from "../verdicts/mod.ts";

/** A call to an engine that failed. */
export class EngineFailure {
    /**
     * @param kind `"down"`: nothing listens or the connection broke; `"refused"`: the engine declined;
     * `"timeout"`: no answer in time; `"handle-gone"`: the prefill's result had expired; `"cancelled"`: by the caller.
     * @param verdict Whether the request may have run.
     * @param message What happened.
     */
    constructor(
        readonly kind: "down" | "refused" | "timeout" | "handle-gone" | "cancelled",
        readonly verdict: Verdict,
        readonly message: string,
    ) {}
}
