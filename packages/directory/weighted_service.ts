/** A service with its share of a route's traffic. */
export interface WeightedService {
    service: string;
    /** Weight relative to the other services of the route. */
    weight: number;
}
