import type { FleetDemand } from "./fleet_demand.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Fraction of the granted tokens that every urgency is expected to get at least. */
const MINIMUM_SHARE = 0.1;

/**
 * Expects the waits for engine memory: the tokens ahead of a request, over the rate at which engines grant tokens, less
 * those that more urgent requests will take in the meantime (A. Cobham, Priority assignment in waiting line problems,
 * Operations Research 2, 1954).
 *
 * @example
 * ```ts
 * new WaitEstimator(demand).expectMilliseconds(request, now);
 * ```
 */
export class WaitEstimator {
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
        let tokensAhead = 0;
        for (const demand of this.demand.total(service, now)) {
            grantedRate += demand.grantedRate;
            urgentRate += demand.urgency < urgency ? demand.grantedRate + demand.refusedRate : 0;
            tokensAhead += demand.urgency <= urgency ? demand.waitingTokens : 0;
        }
        if (grantedRate === 0) {
            return undefined;
        }
        const rate = Math.max(MINIMUM_SHARE * grantedRate, grantedRate - urgentRate);
        return tokensAhead / rate * MILLISECONDS_PER_SECOND;
    }
}
