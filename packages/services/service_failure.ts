import type { Verdict } from "../verdicts/mod.ts";

/** A call to a plain service that returned no complete response. */
export class ServiceFailure {
    /**
     * @param verdict Whether the call may have run.
     * @param message What happened.
     */
    constructor(
        readonly verdict: Verdict,
        readonly message: string,
    ) {}
}
