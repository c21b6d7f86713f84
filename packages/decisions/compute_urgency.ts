/** Largest priority of a route that is told from larger ones. */
const HIGHEST_ROUTE_PRIORITY = 99;

/**
 * Computes the urgency of a request. The priority of its organisation takes precedence over that of its route, which
 * decides between organisations of equal priority. An organisation without one has that of the route.
 *
 * @param routePriority Priority of the route; 0 is served first.
 * @param organisationPriority Priority of the organisation; undefined if it has none.
 * @returns The urgency; the lowest number is served first.
 * @example
 * ```ts
 * computeUrgency(2, 1); // 102
 * ```
 */
export function computeUrgency(routePriority: number, organisationPriority: number | undefined): number {
    const first = organisationPriority ?? routePriority;
    return first * (HIGHEST_ROUTE_PRIORITY + 1) + Math.min(HIGHEST_ROUTE_PRIORITY, routePriority);
}
