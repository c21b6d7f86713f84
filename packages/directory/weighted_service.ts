/** A service of a route and its weight. */
export interface WeightedService {
    service: string;
    /** Weight relative to the other services of the route. */
    weight: number;
}
