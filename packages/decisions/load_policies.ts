import type { FleetConfiguration } from "../directory/mod.ts";
import { FairShares } from "./fair_shares.ts";
import type { FairnessPolicy } from "./fairness_policy.ts";
import { FixedReturn } from "./fixed_return.ts";
import { FixedWait } from "./fixed_wait.ts";
import { FleetDemand } from "./fleet_demand.ts";
import { FleetOrder } from "./fleet_order.ts";
import { InstanceOrder } from "./instance_order.ts";
import type { MemoryOrder } from "./memory_order.ts";
import { NoFairness } from "./no_fairness.ts";
import type { OrganisationRate } from "./organisation_rate.ts";
import type { ReturnPolicy } from "./return_policy.ts";
import { ServiceUrgencies } from "./service_urgencies.ts";
import { SpreadReturn } from "./spread_return.ts";
import { TargetWait } from "./target_wait.ts";
import { WaitEstimator } from "./wait_estimator.ts";
import type { WaitPolicy } from "./wait_policy.ts";

/** The policies that decide for one service. */
interface ServicePolicies {
    order: MemoryOrder;
    wait: WaitPolicy;
    return: ReturnPolicy;
    fairness: FairnessPolicy;
}

/**
 * Chooses the policies that decide under load for each service. One whose requests have several urgencies by the
 * configuration gets those that order requests over all instances, set their waits by their targets, and share short room
 * fairly between organisations.
 *
 * @example
 * ```ts
 * const policies = new LoadPolicies(() => directory.configuration, () => rates, 7);
 * policies.of("models").order;
 * ```
 */
export class LoadPolicies {
    /** Demand for engine memory at all instances, of services with several urgencies. */
    readonly demand = new FleetDemand();
    readonly urgencies: ServiceUrgencies;
    /** Expects the waits of such services. */
    readonly estimator = new WaitEstimator(this.demand);
    readonly #single: ServicePolicies = {
        order: new InstanceOrder(),
        wait: new FixedWait(),
        return: new FixedReturn(),
        fairness: new NoFairness(),
    };
    readonly #several: ServicePolicies;

    /**
     * @param configuration Returns the configuration in force.
     * @param rates Returns what the organisations with a limit ask for at all instances.
     * @param seed Seed of random choices; that of each instance differs.
     */
    constructor(
        configuration: () => FleetConfiguration | undefined,
        rates: () => OrganisationRate[],
        seed: number,
    ) {
        this.urgencies = new ServiceUrgencies(configuration);
        this.#several = {
            order: new FleetOrder(this.demand),
            wait: new TargetWait(this.estimator),
            return: new SpreadReturn(this.estimator, this.urgencies, seed),
            fairness: new FairShares(this.demand, rates, seed),
        };
    }

    /**
     * Returns the policies of a service.
     *
     * @param service Name of the service.
     * @returns The policies.
     */
    of(service: string): ServicePolicies {
        return this.urgencies.hasSeveral(service) ? this.#several : this.#single;
    }
}
