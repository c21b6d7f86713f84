import type { Organisation } from "../configuration/mod.ts";
import { limitTimes } from "./limit_times.ts";
import { SHARES_PER_ORGANISATION } from "./shares_per_organisation.ts";

/** Rate and burst of one share. */
interface Share {
    tokensPerSecond: number;
    burstTokens: number;
}

/**
 * Computes the rate and burst of one share of an organisation's limit.
 *
 * A request may reach an engine some time after its tokens were charged. The tokens that the rate adds in that time are
 * subtracted from the burst, so that the limit also holds at the times at which engines receive the requests.
 *
 * @param organisation The organisation.
 * @returns The share's rate and burst.
 * @example
 * ```ts
 * computeLimitShare({ tokensPerSecond: 300, burstTokens: 900, weight: 1, labels: {} }); // 100 a second, burst 250
 * ```
 */
export function computeLimitShare(organisation: Organisation): Share {
    const delaySeconds = (limitTimes.chargeValidityMilliseconds + limitTimes.transitMilliseconds) / 1_000;
    const usableBurst = organisation.burstTokens - organisation.tokensPerSecond * delaySeconds;
    return {
        tokensPerSecond: organisation.tokensPerSecond / SHARES_PER_ORGANISATION,
        burstTokens: usableBurst / SHARES_PER_ORGANISATION,
    };
}
