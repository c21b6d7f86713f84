import type { FleetDemand } from "./fleet_demand.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Fraction of the granted tokens that every urgency is expected to get at least. */
const MINIMUM_SHARE = 0.1;
/** Time in milliseconds in which the highest rate seen loses most of its weight. */
const PEAK_LIFETIME_MILLISECONDS = 20_000;

/**
 * Expects the waits for engine memory: the tokens ahead of a request, over the rate at which engines can grant tokens,
 * less those that more urgent requests will take in the meantime (A. Cobham, Priority assignment in waiting line
 * problems, Operations Research 2, 1954). The highest recent rate stands for what engines can grant, since the present
 * one is no higher than what was asked for.
 *
 * @example
 * ```ts
 * new WaitEstimator(demand).expectMilliseconds(request, now);
 * ```
 */
export class WaitEstimator {
    /** Highest rates of granted tokens by service, with the times at which they were seen. */
    readonly #peaks = new Map<string, { rate: number; at: number; }>();

    /**
     * @param demand Demand at all instances.
     */
    constructor(private readonly demand: FleetDemand) {}

    /**
     * Expects the wait of a request behind all that wait with its urgency or a more urgent one.
     *
     * @param request The request; it counts itself if it waits already.
     * @param now Monotonic time in milliseconds.
     * @returns The time in milliseconds; undefined if no tokens were granted recently.
     */
    expectMilliseconds(request: Pick<WaitingRequest, "service" | "urgency">, now: number): number | undefined {
        const { service, urgency } = request;
        let grantedRate = 0;
        let urgentRate = 0;
        let ownRate = 0;
        let tokensAhead = 0;
        for (const demand of this.demand.total(service, now)) {
            grantedRate += demand.grantedRate;
            urgentRate += demand.urgency < urgency ? demand.grantedRate + demand.refusedRate : 0;
            ownRate += demand.urgency === urgency ? demand.grantedRate : 0;
            tokensAhead += demand.urgency <= urgency ? demand.waitingTokens : 0;
        }
        if (grantedRate === 0) {
            return undefined;
        }
        const peak = this.#recordPeak(service, grantedRate, now);
        const rate = Math.max(MINIMUM_SHARE * peak, ownRate, peak - urgentRate);
        return tokensAhead / rate * MILLISECONDS_PER_SECOND;
    }

    #recordPeak(service: string, grantedRate: number, now: number): number {
        const known = this.#peaks.get(service) ?? { rate: 0, at: now };
        const decayed = known.rate * Math.exp(-(now - known.at) / PEAK_LIFETIME_MILLISECONDS);
        if (grantedRate >= decayed) {
            this.#peaks.set(service, { rate: grantedRate, at: now });
        }
        return Math.max(grantedRate, decayed);
    }
}
