import { RandomSource } from "../randomness/mod.ts";
import { computeFairLevel } from "./compute_fair_level.ts";
import type { FairnessPolicy } from "./fairness_policy.ts";
import type { FleetDemand } from "./fleet_demand.ts";
import type { OrganisationRate } from "./organisation_rate.ts";

/** Time in milliseconds for which the fair level of a service is kept. */
const LEVEL_LIFETIME_MILLISECONDS = 100;

/** Fair level of a service, and what each organisation asks for a unit of weight. */
interface FairLevel {
    at: number;
    level: number;
    askedLevels: ReadonlyMap<string, number>;
}

/**
 * Weighted fairness between organisations while requests are refused: of what an organisation asks for, the part above
 * the max-min fair level goes behind other requests of the same urgency, chosen at random (I. Stoica, S. Shenker,
 * H. Zhang, Core-Stateless Fair Queueing, SIGCOMM 1998; such requests are served later where that algorithm drops them).
 *
 * @example
 * ```ts
 * new FairShares(demand, () => rates, 7).isBeyondShare("models", "acme", now);
 * ```
 */
export class FairShares implements FairnessPolicy {
    readonly #random: RandomSource;
    readonly #levels = new Map<string, FairLevel>();

    /**
     * @param demand Demand at all instances.
     * @param rates Returns what the organisations with a limit ask for at all instances.
     * @param seed Seed of the choice.
     */
    constructor(
        private readonly demand: FleetDemand,
        private readonly rates: () => OrganisationRate[],
        seed: number,
    ) {
        this.#random = new RandomSource(seed);
    }

    /**
     * Returns whether a request is beyond the fair share of its organisation.
     *
     * @param service Name of the service.
     * @param organisation Name of the organisation; undefined on open routes, which have no share.
     * @param now Monotonic time in milliseconds.
     * @returns Whether it is; false while nothing is refused.
     */
    isBeyondShare(service: string, organisation: string | undefined, now: number): boolean {
        if (organisation === undefined) {
            return false;
        }
        const { level, askedLevels } = this.#levelOf(service, now);
        const asked = askedLevels.get(organisation) ?? 0;
        return asked > level && this.#random.next() < 1 - level / asked;
    }

    #levelOf(service: string, now: number): FairLevel {
        const known = this.#levels.get(service);
        if (known && now - known.at < LEVEL_LIFETIME_MILLISECONDS) {
            return known;
        }
        const servedFraction = this.#servedFraction(service, now);
        const rates = servedFraction < 1 ? this.rates() : [];
        const asked = rates.reduce((sum, { askedRate }) => sum + askedRate, 0);
        const fair = {
            at: now,
            level: computeFairLevel(rates, servedFraction * asked),
            askedLevels: new Map(rates.map(({ name, askedRate, weight }) => [name, askedRate / weight])),
        };
        this.#levels.set(service, fair);
        return fair;
    }

    /** Fraction of the recently decided tokens that engines granted. */
    #servedFraction(service: string, now: number): number {
        let granted = 0;
        let refused = 0;
        for (const { grantedRate, refusedRate } of this.demand.total(service, now)) {
            granted += grantedRate;
            refused += refusedRate;
        }
        return granted > 0 ? granted / (granted + refused) : 1;
    }
}
