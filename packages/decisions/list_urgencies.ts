import type { FleetConfiguration } from "../directory/mod.ts";

/**
 * Lists the priorities that streams of a service may have by the configuration. An organisation's own priority replaces
 * that of the route.
 *
 * @param configuration The configuration.
 * @param service Name of the service.
 * @returns The priorities, the most urgent first.
 * @example
 * ```ts
 * listUrgencies(configuration, "models"); // [0, 1, 2]
 * ```
 */
export function listUrgencies(configuration: FleetConfiguration, service: string): number[] {
    const { routes, organisations } = configuration;
    const priorities = new Set<number>();
    for (const route of routes) {
        if (route.kind !== "stream" || !route.services.some(part => part.service === service && part.weight > 0)) {
            continue;
        }
        if (route.open || !organisations) {
            priorities.add(route.priority);
            continue;
        }
        organisations.forEach(organisation => priorities.add(organisation.priority ?? route.priority));
    }
    return [...priorities].sort((left, right) => left - right);
}
