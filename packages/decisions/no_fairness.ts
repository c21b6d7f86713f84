import type { FairnessPolicy } from "./fairness_policy.ts";

/**
 * Makes no difference between organisations.
 *
 * @example
 * ```ts
 * new NoFairness().isBeyondShare(); // false
 * ```
 */
export class NoFairness implements FairnessPolicy {
    /**
     * Tells requests beyond a share.
     *
     * @returns False.
     */
    isBeyondShare(): boolean {
        return false;
    }
}
