import type { ReturnPolicy } from "./return_policy.ts";

const DELAY_MILLISECONDS = 1_500;

/**
 * The same delay for every refused request.
 *
 * @example
 * ```ts
 * new FixedReturn().delayMilliseconds(); // 1_500
 * ```
 */
export class FixedReturn implements ReturnPolicy {
    /**
     * Returns the delay.
     *
     * @returns The delay in milliseconds.
     */
    delayMilliseconds(): number {
        return DELAY_MILLISECONDS;
    }
}
