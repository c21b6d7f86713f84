import type { FleetConfiguration } from "../directory/mod.ts";
import { listUrgencies } from "./list_urgencies.ts";

/** Largest number of ranks; an engine has ten priorities, two for each rank. */
const MAXIMUM_RANKS = 5;

/**
 * Urgencies of each service by the configuration in force.
 *
 * @example
 * ```ts
 * const urgencies = new ServiceUrgencies(() => directory.configuration);
 * urgencies.rank("models", 202); // 1 if the service has the urgencies 0 and 202
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
     * Returns the rank of an urgency among those of a service.
     *
     * @param service Name of the service.
     * @param urgency The urgency; the lowest number is served first.
     * @returns The rank, from 0 to 4; undefined if the service has a single urgency.
     */
    rank(service: string, urgency: number): number | undefined {
        const urgencies = this.list(service);
        if (urgencies.length <= 1) {
            return undefined;
        }
        const moreUrgent = urgencies.filter(other => other < urgency).length;
        const ranks = Math.min(MAXIMUM_RANKS, urgencies.length);
        return Math.min(ranks - 1, Math.floor(moreUrgent * ranks / urgencies.length));
    }

    /**
     * Lists the urgencies of a service's streams.
     *
     * @param service Name of the service.
     * @returns The urgencies, the one that is served first at the beginning.
     */
    list(service: string): readonly number[] {
        const configuration = this.configuration();
        if (configuration !== this.#listedFor) {
            this.#byService.clear();
            this.#listedFor = configuration;
        }
        let urgencies = this.#byService.get(service);
        if (!urgencies) {
            urgencies = configuration ? listUrgencies(configuration, service) : [];
            this.#byService.set(service, urgencies);
        }
        return urgencies;
    }
}
