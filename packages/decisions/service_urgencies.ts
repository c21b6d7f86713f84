import type { FleetConfiguration } from "../directory/mod.ts";
import { listUrgencies } from "./list_urgencies.ts";

/**
 * Urgencies of each service by the configuration in force.
 *
 * @example
 * ```ts
 * const urgencies = new ServiceUrgencies(() => directory.configuration);
 * urgencies.rank("models", 2); // 1 if the service has the priorities 0 and 2
 * ```
 */
export class ServiceUrgencies {
    #listedFor: FleetConfiguration | undefined;
    readonly #byService = new Map<string, number[]>();

    /**
     * @param configuration Returns the configuration in force.
     */
    constructor(private readonly configuration: () => FleetConfiguration | undefined) {}

    /**
     * Returns whether requests of a service differ in urgency.
     *
     * @param service Name of the service.
     * @returns Whether they do.
     */
    hasSeveral(service: string): boolean {
        return this.list(service).length > 1;
    }

    /**
     * Returns the position of a priority among those of a service.
     *
     * @param service Name of the service.
     * @param priority The priority; 0 is served first.
     * @returns The number of more urgent priorities; undefined if the service has a single one.
     */
    rank(service: string, priority: number): number | undefined {
        const priorities = this.list(service);
        return priorities.length > 1 ? priorities.filter(other => other < priority).length : undefined;
    }

    /**
     * Lists the priorities of a service's streams.
     *
     * @param service Name of the service.
     * @returns The priorities, the most urgent first.
     */
    list(service: string): readonly number[] {
        const configuration = this.configuration();
        if (configuration !== this.#listedFor) {
            this.#byService.clear();
            this.#listedFor = configuration;
        }
        let priorities = this.#byService.get(service);
        if (!priorities) {
            priorities = configuration ? listUrgencies(configuration, service) : [];
            this.#byService.set(service, priorities);
        }
        return priorities;
    }
}
