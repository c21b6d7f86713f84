import type { FleetConfiguration } from "../directory/mod.ts";
import { FixedReturn } from "./fixed_return.ts";
import { FixedWait } from "./fixed_wait.ts";
import { FleetDemand } from "./fleet_demand.ts";
import { FleetOrder } from "./fleet_order.ts";
import { InstanceOrder } from "./instance_order.ts";
import type { MemoryOrder } from "./memory_order.ts";
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
}

/**
 * Chooses the policies that decide under load for each service. One whose requests have several urgencies by the
 * configuration gets those that order requests over all instances and set their waits by their targets.
 *
 * @example
 * ```ts
 * const policies = new LoadPolicies(() => directory.configuration, 7);
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
    };
    readonly #several: ServicePolicies;

    /**
     * @param configuration Returns the configuration in force.
     * @param seed Seed of the jitter in delays; that of each instance differs.
     */
    constructor(configuration: () => FleetConfiguration | undefined, seed: number) {
        this.urgencies = new ServiceUrgencies(configuration);
        this.#several = {
            order: new FleetOrder(this.demand),
            wait: new TargetWait(this.estimator),
            return: new SpreadReturn(this.estimator, this.urgencies, seed),
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
