const RETRIES_EARNED_PER_REQUEST = 0.2;
const MAXIMUM_RETRIES = 20;

/**
 * Limits retries to a fraction of the requests, so that retries do not amplify a failure.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.recordRequest();
 * budget.trySpend(); // true while the budget lasts
 * ```
 */
export class RetryBudget {
    #availableRetries = MAXIMUM_RETRIES;

    /** Records a new request, which earns a fraction of a retry. */
    recordRequest(): void {
        this.#availableRetries = Math.min(MAXIMUM_RETRIES, this.#availableRetries + RETRIES_EARNED_PER_REQUEST);
    }

    /**
     * Spends one retry if the budget allows it.
     *
     * @returns Whether the retry was allowed and spent.
     */
    trySpend(): boolean {
        if (this.#availableRetries < 1) {
            return false;
        }
        this.#availableRetries--;
        return true;
    }
}
