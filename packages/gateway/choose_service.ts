import type { WeightedService } from "../directory/mod.ts";

/**
 * Chooses one of a route's services at random, in proportion to their weights.
 *
 * @param services The services.
 * @param random Random number from 0 (inclusive) to 1 (exclusive). Default: a new one.
 * @returns Name of the service; empty when there is none.
 * @example
 * ```ts
 * chooseService([{ service: "a", weight: 9 }, { service: "b", weight: 1 }], 0.95); // "b"
 * ```
 */
export function chooseService(services: WeightedService[], random = Math.random()): string {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let rest = random * total;
    for (const { service, weight } of services) {
        rest -= weight;
        if (rest < 0) {
            return service;
        }
    }
    return services.at(-1)?.service ?? "";
}
