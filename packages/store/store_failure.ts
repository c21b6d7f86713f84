import type { Verdict } from "../verdicts/mod.ts";

/** A call to the store that returned no usable response. */
export class StoreFailure {
    /**
     * @param verdict Whether the call may have taken effect.
     * @param message What happened.
     */
    constructor(
        readonly verdict: Verdict,
        readonly message: string,
    ) {}
}
