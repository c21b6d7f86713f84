import type { RefusalOptions } from "./refusal_options.ts";
import type { RefusalReason } from "./refusal_reason.ts";
import type { Verdict } from "./verdict.ts";

/**
 * An error response to a caller whose request fails.
 *
 * @example
 * ```ts
 * const options = { retryAfterSeconds: 2 };
 * const refusal = new Refusal(429, "rate-limited", "not-run", "Organisation is over its rate", options);
 * refusal.verdict; // "not-run"
 * ```
 */
export class Refusal {
    readonly retryAfterSeconds: number | undefined;

    /**
     * @param status HTTP status code.
     * @param reason Machine-readable reason.
     * @param verdict Whether the request may have run.
     * @param message Message for the caller.
     * @param options Options.
     */
    constructor(
        readonly status: number,
        readonly reason: RefusalReason,
        readonly verdict: Verdict,
        readonly message: string,
        options: RefusalOptions = {},
    ) {
        this.retryAfterSeconds = options.retryAfterSeconds;
    }

    /**
     * Returns the body sent to the caller.
     *
     * @returns JSON-serialisable body in the format of the OpenAI error object.
     */
    toBody(): object {
        return { error: { message: this.message, type: this.reason, code: this.reason, verdict: this.verdict } };
    }
}
