import type { Verdict } from "../verdicts/mod.ts";

/** A call to another instance that brought no result. */
export class CallFailure {
    /**
     * @param kind `"refused"`: no process listens at the address; `"replaced"`: another incarnation answers there;
     * `"unreachable"`: not connected; `"timeout"`: no answer in time; `"error"`: the other instance said so.
     * @param verdict Whether the call may have run there.
     * @param message What happened.
     */
    constructor(
        readonly kind: "refused" | "replaced" | "unreachable" | "timeout" | "error",
        readonly verdict: Verdict,
        readonly message: string,
    ) {}

    /** Whether the failure proves that the incarnation that was called no longer exists. */
    get provesTermination(): boolean {
        return this.kind === "refused" || this.kind === "replaced";
    }
}
