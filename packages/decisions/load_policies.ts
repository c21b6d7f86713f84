import type { FleetConfiguration } from "../directory/mod.ts";
import { FleetDemand } from "./fleet_demand.ts";
import { FleetOrder } from "./fleet_order.ts";
import { InstanceOrder } from "./instance_order.ts";
import type { MemoryOrder } from "./memory_order.ts";
import { ServiceUrgencies } from "./service_urgencies.ts";

/** The policies that decide for one service. */
interface ServicePolicies {
    order: MemoryOrder;
}

/**
 * Chooses the policies that decide under load for each service. One whose requests have several priorities by the
 * configuration gets those that order requests over all instances.
 *
 * @example
 * ```ts
 * const policies = new LoadPolicies(() => directory.configuration);
 * policies.of("models").order;
 * ```
 */
export class LoadPolicies {
    /** Demand for engine memory at all instances, of services with several priorities. */
    readonly demand = new FleetDemand();
    readonly urgencies: ServiceUrgencies;
    readonly #single: ServicePolicies = { order: new InstanceOrder() };
    readonly #several: ServicePolicies = { order: new FleetOrder(this.demand) };

    /**
     * @param configuration Returns the configuration in force.
     */
    constructor(configuration: () => FleetConfiguration | undefined) {
        this.urgencies = new ServiceUrgencies(configuration);
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
