const TOKENS_PER_REQUEST = 0.2;
const MAXIMUM_TOKENS = 20;

/**
 * Bounds retries to a share of the requests, so that retries never multiply a failure.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.noteRequest();
 * budget.take(); // true while retries are few
 * ```
 */
export class RetryBudget {
    #tokens = MAXIMUM_TOKENS;

    /** Notes a new request, which earns a part of a retry. */
    recordRequest(): void {
        this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + TOKENS_PER_REQUEST);
    }

    /**
     * Takes one retry.
     *
     * @returns Whether the retry is allowed.
     */
    trySpend(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}
