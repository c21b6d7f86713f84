import type { FleetConfiguration } from "../directory/mod.ts";
import { computeUrgency } from "./compute_urgency.ts";

/**
 * Lists the urgencies that streams of a service may have by the configuration.
 *
 * @param configuration The configuration.
 * @param service Name of the service.
 * @returns The urgencies, the lowest number, which is served first, at the beginning.
 * @example
 * ```ts
 * listUrgencies(configuration, "models"); // [0, 101, 202]
 * ```
 */
export function listUrgencies(configuration: FleetConfiguration, service: string): number[] {
    const { routes, organisations } = configuration;
    const urgencies = new Set<number>();
    for (const route of routes) {
        if (route.kind !== "stream" || !route.services.some(part => part.service === service && part.weight > 0)) {
            continue;
        }
        if (route.open || !organisations) {
            urgencies.add(computeUrgency(route.priority, undefined));
            continue;
        }
        organisations.forEach(({ priority }) => urgencies.add(computeUrgency(route.priority, priority)));
    }
    return [...urgencies].sort((left, right) => left - right);
}
