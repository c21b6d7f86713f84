import type { Verdict } from "../verdicts/mod.ts";

/** A call to the store that brought no usable answer. */
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
