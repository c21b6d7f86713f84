import type { Verdict } from "../verdicts/mod.ts";

/** A call to another instance that returned no result. */
export class CallFailure {
    /**
     * @param kind `"refused"`: no process listens at the address; `"replaced"`: another incarnation responds
     * there; `"unreachable"`: no connection could be opened; `"timeout"`: no response in time; `"error"`: the other
     * instance returned an error, or the connection was lost.
     * @param verdict Whether the call may have run at the other instance.
     * @param message What happened.
     */
    constructor(
        readonly kind: "refused" | "replaced" | "unreachable" | "timeout" | "error",
        readonly verdict: Verdict,
        readonly message: string,
    ) {}

    /** Whether the failure proves that the called incarnation has terminated. */
    get provesTermination(): boolean {
        return this.kind === "refused" || this.kind === "replaced";
    }
}
