import type { Verdict } from "../verdicts/mod.ts";

/** A call to a plain service that brought no whole answer. */
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
